package maplerail.policy;

import maplerail.Router.Outcome;

/**
 * The lease on the state that a reader holds for a request. It begins when the reader says so and runs out after the time
 * that the settings allow; then the state has to be on its way to a writer that runs, or to be let go. Only an answer
 * from an engine renews it: that proves that the engine was running and that an attempt was out until then. What left
 * this process proves nothing, and neither does a connection that came up, as the system of a process that is stopped
 * takes both.
 */
public final class StateLease {
    /** In lease terms, after which a write that has not been heard may be doubted: the rest is for what follows. */
    private static final double DOUBT_TERMS = 0.7;
    /** Times the usual wait for a first token, after which silence is remarkable. */
    private static final double UNUSUAL = 3;

    private final double termMs;
    private double termStartMs;

    /** Makes a lease of so long that begins now. */
    public StateLease(double termMs, double nowMs) {
        this.termMs = termMs;
        this.termStartMs = nowMs;
    }

    /** Whether an outcome is an answer of an engine that runs; all others are what this side saw or decided. */
    public static boolean isAnswer(Outcome outcome) {
        return switch (outcome) {
            case SERVED, READ, ERROR, FULL, STATE_GONE -> true;
            case TIMEOUT, UNREACHABLE, RESET, CANCELLED, NOT_SENT -> false;
        };
    }

    /** An attempt of the request has ended: if an engine answered it, the term begins anew. */
    public void onAttemptEnded(Outcome outcome, double nowMs) {
        if (isAnswer(outcome)) termStartMs = nowMs;
    }

    /** Since when nothing proves that an attempt was out. */
    public double termStartMs() {
        return termStartMs;
    }

    /** When the state must have been taken or let go. */
    public double expiresMs() {
        return termStartMs + termMs;
    }

    /**
     * When a write of which nothing has been heard is no longer to be waited for with the state held: as late as silence
     * is usual, within the term less a margin. Where writers usually take as long as the term, that is its end.
     */
    public double doubtMs(double sentMs, double usualWaitMs, double marginMs) {
        double unusualMs = sentMs + (usualWaitMs > 0 ? UNUSUAL * usualWaitMs : 0); // NaN: not known
        return Math.min(Math.max(unusualMs, termStartMs + DOUBT_TERMS * termMs), expiresMs() - marginMs);
    }
}
