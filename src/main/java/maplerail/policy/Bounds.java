package maplerail.policy;

import maplerail.Router.Arrival;

/** Bounds on reported numbers. Guards against an out-of-range value that corrupts an estimate outliving its request. */
public final class Bounds {
    /** Upper bound of a reported length or time, in tokens or milliseconds. */
    public static final double MAX = 1e7;

    private Bounds() {}

    /** A length or time within bounds: 0 in place of NaN and negative values, and at most {@link #MAX}. */
    public static double clamp(double value) {
        return value > 0 ? Math.min(value, MAX) : 0;
    }

    /** An arrival with all its lengths and times within bounds. */
    public static Arrival clamp(Arrival arrival) {
        return new Arrival(arrival.id(), arrival.kind(), arrival.tenant(), arrival.session(),
                clamp(arrival.promptTokens()), arrival.prefix(), clamp(arrival.prefixTokens()),
                clamp(arrival.budgetMs()), clamp(arrival.maxOutput()), clamp(arrival.hintMs()), arrival.retry());
    }
}
