package maplerail.front;

import java.util.Arrays;

/**
 * Since when a new connection may have waited in the system before it was accepted. Of a crowd that comes at once each one
 * may have waited since the first: nothing tells that the system's queue was empty in between. Fewer than that are
 * accepted as they come, however long they go on coming. While all places are taken none is accepted, so that no crowd
 * ends then. A connection has waited at most since so many before it were accepted as the system's queue holds.
 */
final class ConnectionBurst {
    /** Connections in a crowd; fewer are accepted in a few milliseconds. */
    static final int CROWD = 16;
    /** In which so many have to come, beside the time for which the loop may not have looked. */
    private static final double GAP_MS = 50;

    /** Of the last ones, in a ring: when they came, and before which time they had not been accepted. */
    private final double[] cameMs;
    private final double[] acceptedSinceMs;
    private int next;
    private double crowdSinceMs;
    private double fullMs = Double.NEGATIVE_INFINITY;

    /** Makes one for a listening socket whose queue in the system holds so many connections. */
    ConnectionBurst(int backlog) {
        cameMs = new double[backlog + 1]; // Linux keeps one more than it is told
        acceptedSinceMs = new double[backlog + 1];
        Arrays.fill(cameMs, Double.NEGATIVE_INFINITY);
        Arrays.fill(acceptedSinceMs, Double.NEGATIVE_INFINITY);
    }

    /** All places are taken at this time: nothing is accepted. */
    void full(double nowMs) {
        fullMs = nowMs;
    }

    /** One more came in, which by itself had not been made by some time; returns by when it had not with the crowd. */
    double notBeforeMs(double nowMs, double sinceMs) {
        double crowdCameMs = cameMs[Math.floorMod(next - CROWD, cameMs.length)];
        if (Math.max(crowdCameMs, fullMs) < sinceMs - GAP_MS) crowdSinceMs = sinceMs;
        double queuedSinceMs = acceptedSinceMs[next];
        cameMs[next] = nowMs;
        acceptedSinceMs[next] = sinceMs;
        next = (next + 1) % cameMs.length;
        return Math.min(sinceMs, Math.max(crowdSinceMs, queuedSinceMs));
    }
}
