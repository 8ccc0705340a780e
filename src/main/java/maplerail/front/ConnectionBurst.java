package maplerail.front;

import java.util.Arrays;

/**
 * Since when a new connection may have waited in the system before it was accepted. Of a crowd that comes at once each one
 * may have waited since the first: nothing tells that the system's queue was empty in between. Fewer than that are
 * accepted as they come, however long they go on coming.
 */
final class ConnectionBurst {
    /** Connections in a crowd; fewer are accepted in a few milliseconds. */
    static final int CROWD = 16;
    /** In which so many have to come, beside the time for which the loop may not have looked. */
    private static final double GAP_MS = 50;

    /** When the last ones came, in a ring. */
    private final double[] cameMs = new double[CROWD];
    private int next;
    private double crowdSinceMs;

    ConnectionBurst() {
        Arrays.fill(cameMs, Double.NEGATIVE_INFINITY);
    }

    /** One more came in, which by itself had not been made by some time; returns by when it had not with the crowd. */
    double notBeforeMs(double nowMs, double sinceMs) {
        if (cameMs[next] < sinceMs - GAP_MS) crowdSinceMs = sinceMs;
        cameMs[next] = nowMs;
        next = (next + 1) % CROWD;
        return Math.min(sinceMs, crowdSinceMs);
    }
}
