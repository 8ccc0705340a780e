package maplerail.policy;

import java.util.stream.Stream;

/** A mean of recent samples and the weight that they still have: it fades with time, and older samples count less. */
public final class RecentMean {
    private final double mostSamples;
    private final double memoryMs;
    private double mean;
    private double weight;
    private double atMs;

    /** Makes a mean with no samples that goes back over so many samples and so long. */
    public RecentMean(double mostSamples, double memoryMs) {
        this.mostSamples = mostSamples;
        this.memoryMs = memoryMs;
    }

    /** Counts one more sample. */
    public void add(double value, double nowMs) {
        weight = Math.min(mostSamples - 1, weight(nowMs)) + 1;
        mean += (value - mean) / weight;
        atMs = nowMs;
    }

    /** The mean, 0 without samples. */
    public double mean() {
        return mean;
    }

    /** How many samples it still stands for. */
    public double weight(double nowMs) {
        return weight * Math.exp((atMs - nowMs) / memoryMs);
    }

    /** Lets what was seen so far count as so many samples, as of the last one. */
    public void reweigh(double samples) {
        weight = samples;
    }

    /** The mean as far as it is still believed, if it fades within some time of the last sample. */
    public double faded(double fadeMs, double nowMs) {
        return mean * Math.exp((atMs - nowMs) / fadeMs);
    }

    /** The lower median of those that stand for so many samples at least, NaN if there are none. */
    public static double median(Stream<RecentMean> among, double leastSamples, double nowMs) {
        double[] means = among.filter(seen -> seen.weight(nowMs) >= leastSamples).mapToDouble(RecentMean::mean)
                .filter(mean -> mean >= 0).sorted().toArray();
        return means.length == 0 ? Double.NaN : means[(means.length - 1) / 2];
    }
}
