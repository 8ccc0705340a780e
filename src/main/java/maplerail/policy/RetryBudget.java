package maplerail.policy;

/**
 * The retry budget of a node: a token bucket that each arrival fills by a part of a retry, so that retries stay a limited
 * share of the load regardless of failures. Retries of reads whose answer may be lost may overdraw it; later arrivals pay that
 * back.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    private static final double MAX_SAVED_RETRIES = 10;
    private static final double MAX_OVERDRAWN_RETRIES = 5;

    private double tokens = 1;

    /**
     * Counts an arrival. The saved retries are limited by the recent arrivals, so that a node with few arrivals cannot make
     * many retries at a time.
     */
    public void onArrival(double recentArrivals) {
        double maxTokens = Math.min(MAX_SAVED_RETRIES, Math.max(1, RETRIES_PER_ARRIVAL * recentArrivals));
        tokens = Math.min(maxTokens, tokens + RETRIES_PER_ARRIVAL);
    }

    /** Whether it holds a retry. */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /** Whether a retry may be taken by {@link #overdraw}. */
    public boolean allowsOverdraft() {
        return tokens >= 1 - MAX_OVERDRAWN_RETRIES;
    }

    /** Takes a retry, or the remaining part of one: adds nothing to an overdraft. */
    public void spend() {
        tokens = Math.max(Math.min(0, tokens), tokens - 1);
    }

    /** Takes a whole retry, with an overdraft if necessary. */
    public void overdraw() {
        tokens--;
    }
}
