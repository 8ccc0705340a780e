package maplerail.core;

/** Limits the lines of a log in a window, so that a bad second does not cost the processor time that it lacks most. */
final class LineLimit {
    private static final int MOST_LINES = 20; // in a window: enough to follow some, too few to cost anything
    private static final double WINDOW_MS = 1_000;

    private final Loop loop;
    private double windowMs = Double.NEGATIVE_INFINITY;
    private int lines;

    LineLimit(Loop loop) {
        this.loop = loop;
    }

    /** Begins a new window if the last one is over, and tells how many lines that one left out. */
    int leftOut() {
        double now = loop.nowMs();
        if (now - windowMs < WINDOW_MS) return 0;
        int leftOut = Math.max(0, lines - MOST_LINES);
        windowMs = now;
        lines = 0;
        return leftOut;
    }

    /** Counts a line; false if it is one too many. */
    boolean admits() {
        return ++lines <= MOST_LINES;
    }
}
