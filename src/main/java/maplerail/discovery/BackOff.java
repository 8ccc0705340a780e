package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * Computes when a node calls discovery again after a refusal. Each node draws a random time within a window that grows
 * with each refusal, so that nodes which were refused together do not call again together. The window starts with the
 * refused call: a change made right after that counts as known to the node 6 s later, whatever the outcome of the call.
 */
final class BackOff {
    /** Shortest delay before any further call. */
    static final double MIN_DELAY_MS = 50;
    /**
     * Time that a busy discovery service takes per call, as seen in service. The nodes that it refused share its
     * capacity.
     */
    private static final double CALL_MS = 400;
    /**
     * Longest time from one call to the next for any number of nodes. It leaves 2 s of the 6 s for the response of a
     * busy discovery service.
     */
    static final double MAX_WINDOW_MS = 3_500;

    private final SplittableRandom random;
    private final double initialWindowMs;
    private double windowMs;

    /**
     * Creates the back-off of one node.
     *
     * @param nodes number of nodes that call the discovery service
     * @param seed seed of the random times of this node
     */
    BackOff(int nodes, long seed) {
        random = new SplittableRandom(seed);
        initialWindowMs = Math.min(MAX_WINDOW_MS, nodes * CALL_MS);
        windowMs = initialWindowMs;
    }

    /** Returns when to call again, after a refusal at {@code nowMs} of the call that was sent at {@code sentMs}. */
    double nextCallMs(double sentMs, double nowMs) {
        double nextMs = Math.max(nowMs + MIN_DELAY_MS, sentMs + windowMs * random.nextDouble());
        windowMs = Math.min(MAX_WINDOW_MS, 2 * windowMs);
        return nextMs;
    }

    /** Resets the window, after discovery has sent a valid list or the agent was switched. */
    void reset() {
        windowMs = initialWindowMs;
    }
}
