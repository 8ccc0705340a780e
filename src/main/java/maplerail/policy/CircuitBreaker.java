package maplerail.policy;

/**
 * The circuit breaker of an engine, opened when the engine is an outlier among its peers. While it is open, the engine
 * gets no attempts. Each time that it opens again it stays open for longer. Then it is half-open: it admits more attempts
 * in flight with each success, until enough of them close it.
 */
public final class CircuitBreaker {
    private static final double INITIAL_OPEN_MS = 1_000; // doubled each time that it opens again before it has closed
    private static final double MAX_OPEN_MS = 8_000;
    private static final int MAX_DOUBLINGS = 10; // far beyond the maximum time, and keeps the factor within an int
    private static final int SUCCESSES_TO_CLOSE = 4; // each doubles the attempts that may be in flight

    private boolean closed = true;
    private double openUntilMs;
    private int openings;
    private int successes;

    /** Whether it is open or half-open. */
    public boolean isTripped() {
        return !closed;
    }

    /** Whether it admits nothing. */
    public boolean isOpen(double nowMs) {
        return !closed && nowMs < openUntilMs;
    }

    /** Whether it admits another attempt, given the number of attempts in flight. */
    public boolean admits(int inFlight, double nowMs) {
        return closed || nowMs >= openUntilMs && inFlight < 1 << successes;
    }

    /** Counts a success. Those during the open time belong to earlier attempts and do not count. */
    public void onSuccess(double nowMs) {
        if (closed || nowMs < openUntilMs || ++successes < SUCCESSES_TO_CLOSE) return;
        closed = true;
        openings = 0;
    }

    /** Opens it for at least {@code minOpenMs}, limited by the maximum time. */
    public void open(double minOpenMs, double nowMs) {
        closed = false;
        double openMs = Math.max(INITIAL_OPEN_MS * (1 << Math.min(openings, MAX_DOUBLINGS)), minOpenMs);
        openUntilMs = nowMs + Math.min(MAX_OPEN_MS, openMs);
        openings++;
        successes = 0;
    }
}
