package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * When a node asks again after discovery refused a call. Each node draws its own time within a window that grows with
 * the refusals, so that nodes which were refused together do not come again together. The window's end is counted from
 * the refused call's start: what changed right after that counts as told 6 s later, whatever became of the call.
 */
final class BackOff {
    static final double LEAST_MS = 50; // before any further call
    /** What a busy discovery takes for a call, as seen in service: the nodes that it refused share out its time. */
    private static final double TURN_MS = 400;
    /** From one call to the next, however many nodes there are; 2 s of the 6 s are left for a busy discovery's answer. */
    static final double MOST_MS = 3_500;

    private final SplittableRandom random;
    private final double firstMs;
    private double windowMs;

    /** The waits of one of so many nodes, drawn from its seed. */
    BackOff(int nodes, long seed) {
        random = new SplittableRandom(seed);
        firstMs = Math.min(MOST_MS, nodes * TURN_MS);
        windowMs = firstMs;
    }

    /** When to call again after a refusal now of the call that went out at a time. */
    double againMs(double askedMs, double nowMs) {
        double at = Math.max(nowMs + LEAST_MS, askedMs + windowMs * random.nextDouble());
        windowMs = Math.min(MOST_MS, 2 * windowMs);
        return at;
    }

    /** Discovery has answered. */
    void reset() {
        windowMs = firstMs;
    }
}
