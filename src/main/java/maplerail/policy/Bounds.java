package maplerail.policy;

import maplerail.Router.Arrival;

/** Bounds on what a node is told: an absurd figure must not poison an estimate that outlives its request. */
public final class Bounds {
    /** Tokens or milliseconds; no length or time that is told is held to be longer. */
    public static final double MOST = 1e7;

    private Bounds() {}

    /** A length or time as it can be: 0 in place of NaN and of what is negative, and at most {@link #MOST}. */
    public static double clamp(double value) {
        return value > 0 ? Math.min(value, MOST) : 0;
    }

    /** An arrival whose lengths and times are all within the bounds. */
    public static Arrival clamp(Arrival told) {
        return new Arrival(told.id(), told.kind(), told.tenant(), told.session(), clamp(told.promptTokens()),
                told.prefix(), clamp(told.prefixTokens()), clamp(told.budgetMs()), clamp(told.maxOutput()),
                clamp(told.hintMs()), told.resumed());
    }
}
