package maplerail.policy;

import java.util.stream.Stream;

/** A mean of recent samples, with a weight: the weight fades with time, and newer samples count more than older ones. */
public final class RecentMean {
    private final double maxSamples;
    private final double fadeMs;
    private double mean;
    private double weight;
    private double atMs;

    /** Creates a mean without samples, over at most {@code maxSamples} whose weight fades to 1/e in {@code fadeMs}. */
    public RecentMean(double maxSamples, double fadeMs) {
        this.maxSamples = maxSamples;
        this.fadeMs = fadeMs;
    }

    /** Adds a sample. */
    public void add(double value, double nowMs) {
        weight = Math.min(maxSamples - 1, weight(nowMs)) + 1;
        mean += (value - mean) / weight;
        atMs = nowMs;
    }

    /** The mean, 0 without samples. */
    public double mean() {
        return mean;
    }

    /** Number of samples that the mean still represents. */
    public double weight(double nowMs) {
        return weight * Math.exp((atMs - nowMs) / fadeMs);
    }

    /** Sets the weight of the samples so far, as of the last one. */
    public void setWeight(double samples) {
        weight = samples;
    }

    /** The mean, decayed exponentially since the last sample. */
    public double decayed(double decayMs, double nowMs) {
        return mean * Math.exp((atMs - nowMs) / decayMs);
    }

    /** The lower median of the means with at least a minimum weight, NaN if there are none. */
    public static double median(Stream<RecentMean> all, double minWeight, double nowMs) {
        double[] means = all.filter(recent -> recent.weight(nowMs) >= minWeight).mapToDouble(RecentMean::mean)
                .filter(mean -> mean >= 0).sorted().toArray();
        return means.length == 0 ? Double.NaN : means[(means.length - 1) / 2];
    }
}
