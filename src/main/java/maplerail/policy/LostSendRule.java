package maplerail.policy;

/**
 * Tells when a write is to be held for lost. A send that has not arrived is not out, whatever its sender knows, and does
 * not stop the time in which the state that it was to fetch must be let go; a write that did arrive and only waits in a
 * queue fails if its state is let go. Silence decides: as long as the rule allows, and several times what writers
 * usually take.
 */
public final class LostSendRule {
    private static final int MOST_SAMPLES = 10; // that the mean of waits goes back
    private static final double UNUSUAL = 3; // times the mean
    /** In pin limits, before the end of the limit, for the release to go out and be tried once more. */
    private static final double LEAD_LIMITS = 0.3;

    private final double pinLimitMs;
    private double usualMs;
    private int samples;

    /** Makes a rule for states that may be held for so long. */
    public LostSendRule(double pinLimitMs) {
        this.pinLimitMs = pinLimitMs;
    }

    /** A write was answered after so long. */
    public void answered(double waitMs) {
        samples = Math.min(MOST_SAMPLES, samples + 1);
        usualMs += (waitMs - usualMs) / samples;
    }

    private double lookAtMs(double heldSinceMs) {
        return heldSinceMs + pinLimitMs * (1 - LEAD_LIMITS);
    }

    /** When a write that was sent at a time and has not been heard is to be held for lost; infinite for never. */
    public double lostAtMs(double sentMs, double heldSinceMs) {
        double unusualMs = sentMs + UNUSUAL * usualMs;
        // Later than the limit nothing is to be won any more: where writers are that slow, it most likely waits there.
        return unusualMs <= heldSinceMs + pinLimitMs ? Math.max(unusualMs, lookAtMs(heldSinceMs))
                : Double.POSITIVE_INFINITY;
    }
}
