package maplerail.core;

/** Limits the number of log lines per time window, so that logging does not use processor time when it is scarce. */
final class LogRateLimiter {
    private static final int MAX_LINES_PER_WINDOW = 20; // enough to trace some requests at negligible cost
    private static final double WINDOW_MS = 1_000;

    private final EventLoop loop;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int lines;

    LogRateLimiter(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts a new window if the current one is over. Returns the number of lines dropped in it, otherwise 0. */
    int rollWindow() {
        double nowMs = loop.nowMs();
        if (nowMs - windowStartMs < WINDOW_MS) return 0;
        int dropped = Math.max(0, lines - MAX_LINES_PER_WINDOW);
        windowStartMs = nowMs;
        lines = 0;
        return dropped;
    }

    /** Counts a line. Returns false if it exceeds the limit. */
    boolean tryAcquire() {
        return ++lines <= MAX_LINES_PER_WINDOW;
    }
}
