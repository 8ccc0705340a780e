package maplerail.front;

import java.util.Arrays;

/**
 * Estimates since when a new connection may have waited in the kernel's backlog. Each connection of a burst may have
 * waited since the burst started, as nothing shows that the backlog was empty in between. Connections that arrive more
 * slowly are accepted as they arrive, however long that continues.
 */
final class ConnectionBurst {
    /** Connections that make a burst; fewer are accepted within a few milliseconds. */
    static final int BURST_SIZE = 16;
    /**
     * Period in which {@link #BURST_SIZE} connections make a burst, in addition to the time for which the loop may not
     * have accepted any.
     */
    private static final double BURST_PERIOD_MS = 50;

    /** Accept times of the most recent connections, as a ring buffer. */
    private final double[] acceptedMs = new double[BURST_SIZE];
    private int nextSlot;
    private double burstSinceMs;

    ConnectionBurst() {
        Arrays.fill(acceptedMs, Double.NEGATIVE_INFINITY);
    }

    /**
     * Records that a connection was accepted.
     *
     * @param nowMs the time of the accept
     * @param sinceMs the time before which this connection alone had not been made
     * @return the time before which it had not been made, given the burst that it may belong to
     */
    double recordAccept(double nowMs, double sinceMs) {
        if (acceptedMs[nextSlot] < sinceMs - BURST_PERIOD_MS) burstSinceMs = sinceMs;
        acceptedMs[nextSlot] = nowMs;
        nextSlot = (nextSlot + 1) % BURST_SIZE;
        return Math.min(sinceMs, burstSinceMs);
    }
}
