package maplerail.policy;

/**
 * The circuit breaker of an engine, opened when the engine is an outlier among its peers. While it is open the engine
 * gets nothing, each time for longer; then it is half-open and lets through more with each good outcome, until enough
 * of them close it.
 */
public final class CircuitBreaker {
    private static final double FIRST_OPEN_MS = 1_000; // doubled each time that it opens again before it has closed
    private static final double LONGEST_OPEN_MS = 8_000;
    private static final int MOST_DOUBLINGS = 10; // far beyond the longest, and within an int
    private static final int TRIALS = 4; // good outcomes that close it; each doubles what may be out

    private boolean closed = true;
    private double openUntilMs;
    private int openings;
    private int goodTrials;

    /** Whether it has opened and not closed since: open or half-open. */
    public boolean isTripped() {
        return !closed;
    }

    /** Whether nothing may be sent yet. */
    public boolean isOpen(double nowMs) {
        return !closed && nowMs < openUntilMs;
    }

    /** Whether one more attempt may be sent, while so many are out. */
    public boolean admits(int out, double nowMs) {
        return closed || nowMs >= openUntilMs && out < 1 << goodTrials;
    }

    /** An attempt went well. */
    public void onSuccess(double nowMs) {
        if (closed || nowMs < openUntilMs || ++goodTrials < TRIALS) return;
        closed = true;
        openings = 0;
    }

    /** Opens it for so long at least, if that is not beyond the longest. */
    public void open(double leastMs, double nowMs) {
        closed = false;
        double openMs = Math.max(FIRST_OPEN_MS * (1 << Math.min(openings, MOST_DOUBLINGS)), leastMs);
        openUntilMs = nowMs + Math.min(LONGEST_OPEN_MS, openMs);
        openings++;
        goodTrials = 0;
    }
}
