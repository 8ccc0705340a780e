package maplerail.front.platform;

/**
 * Spaces, over all connections, the turns that read what is not kept. Guards against clients that make the gateway read
 * all the time by sending far more than it keeps.
 */
final class DroppedReadPacer {
    /** Bytes that are read in one turn. */
    static final int BYTES_PER_TURN = 64 * 1024;
    private static final double INTERVAL_MS = 2; // between two turns

    private double nextTurnMs = Double.NEGATIVE_INFINITY;

    /** Returns true, and takes the turn, if one may begin now. */
    boolean tryTurn(double nowMs) {
        if (nowMs < nextTurnMs) return false;
        nextTurnMs = nowMs + INTERVAL_MS;
        return true;
    }
}
