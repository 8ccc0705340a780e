package maplerail.policy;

/**
 * The retry budget of a node: a token bucket that each arrival fills by a part of a retry, so that retries stay a share
 * of the load whatever fails. Retries for reads whose answer may be lost may overdraw it; later arrivals pay that back.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    private static final double MOST_SAVED = 10; // retries
    private static final double MOST_OVERDRAWN = 5; // retries

    private double tokens = 1;

    /** Counts an arrival. A node that sees few must not have saved up more retries than those of late allow. */
    public void onArrival(double recentArrivals) {
        double most = Math.min(MOST_SAVED, Math.max(1, RETRIES_PER_ARRIVAL * recentArrivals));
        tokens = Math.min(most, tokens + RETRIES_PER_ARRIVAL);
    }

    /** Whether it holds a retry. */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /** Whether a retry may be taken that it need not hold. */
    public boolean allowsOverdraft() {
        return tokens >= 1 - MOST_OVERDRAWN;
    }

    /** Takes a retry, or what is left of one: this adds to no debt. */
    public void spend() {
        tokens = Math.max(Math.min(0, tokens), tokens - 1);
    }

    /** Takes a whole retry, into debt if need be. */
    public void overdraw() {
        tokens--;
    }
}
