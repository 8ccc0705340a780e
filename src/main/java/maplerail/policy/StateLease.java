package maplerail.policy;

import maplerail.Router.Outcome;

/**
 * The lease on the state that a reader holds for a request. It starts when the reader reports the state and expires after
 * the term of the settings; by then the state must be on its way to a running writer or be released. Only an answer from
 * an engine renews it: that proves that the engine was running and that an attempt was in flight until then. Bytes that
 * left this process prove nothing, and neither does a connection that was established, as the operating system of a
 * stopped process accepts both.
 */
public final class StateLease {
    /** Share of the term after which a silent write may be given up; the rest is left for what follows. */
    private static final double MIN_SILENCE_TERMS = 0.7;
    /** Multiple of the usual wait for a first token from which silence is unusual. */
    private static final double UNUSUAL_WAIT_FACTOR = 3;

    private final double termMs;
    private double termStartMs;

    /** Creates a lease that starts now. */
    public StateLease(double termMs, double nowMs) {
        this.termMs = termMs;
        this.termStartMs = nowMs;
    }

    /** Whether an outcome is an answer of a running engine; all others were observed or decided on this side. */
    public static boolean isEngineAnswer(Outcome outcome) {
        return switch (outcome) {
            case SERVED, READ, ERROR, FULL, STATE_GONE -> true;
            case TIMEOUT, UNREACHABLE, RESET, CANCELLED, NOT_SENT -> false;
        };
    }

    /** An attempt of the request has ended: renews the lease if an engine answered it. */
    public void onAttemptEnded(Outcome outcome, double nowMs) {
        if (isEngineAnswer(outcome)) termStartMs = nowMs;
    }

    /**
     * Renews the lease, as at that time an attempt is known to have been in flight at a running engine, or nothing was
     * held.
     */
    public void renew(double provenMs) {
        termStartMs = Math.max(termStartMs, provenMs);
    }

    /** When the term started: since then nothing proves that an attempt was in flight. */
    public double termStartMs() {
        return termStartMs;
    }

    /** When the state must have been fetched or released. */
    public double expiresMs() {
        return termStartMs + termMs;
    }

    /**
     * Until when the state is held for a write that has been silent since it was sent: until the silence is unusual and
     * a minimum share of the term has passed, but no later than a margin before the lease expires. That is the limit too
     * where writers usually take as long as the term.
     *
     * @param usualWaitMs usual wait for a first token, NaN if unknown
     */
    public double reclaimAtMs(double sentMs, double usualWaitMs, double marginMs) {
        double unusualMs = sentMs + (usualWaitMs > 0 ? UNUSUAL_WAIT_FACTOR * usualWaitMs : 0);
        return Math.min(Math.max(unusualMs, termStartMs + MIN_SILENCE_TERMS * termMs), expiresMs() - marginMs);
    }
}
