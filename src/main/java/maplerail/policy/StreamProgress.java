package maplerail.policy;

/**
 * Follows how a stream goes on and decides until when it may go on without progress. Only the text of events is
 * progress: any other byte shows that its engine runs, not that its answer goes on; and a whole event comes too late as
 * a proof, as it may take its engine long to write. Behind the last event nothing is progress.
 */
public final class StreamProgress {
    /** Why a stream has to be ended. */
    public enum Flaw {
        /** No text of an event has arrived for too long. */
        STALLED,
        /** An event has become larger and taken longer than any event of this answer can. */
        ENDLESS_EVENT,
        /** The last event has arrived, but not the end of the stream. */
        NO_END
    }

    /** Time without progress after which a stream has to be ended; clients must be told within 5 s. */
    public static final double STALL_TIMEOUT_MS = 4_500;

    private final AnswerLimits limits;
    private double lastTextMs;
    private double eventStartMs;
    private int unfinishedBytes;
    private double lastEventMs = Double.POSITIVE_INFINITY;

    /** Starts with the first event of a stream. */
    public StreamProgress(AnswerLimits limits, double nowMs) {
        this.limits = limits;
        eventArrived(nowMs);
    }

    /** Records that an event has become whole. */
    public void eventArrived(double nowMs) {
        lastTextMs = nowMs;
        eventStartMs = nowMs;
        unfinishedBytes = 0;
    }

    /** Records text of events, and how many bytes of an event that is not whole have arrived by now. */
    public void textArrived(double nowMs, int bytesOfUnfinishedEvent) {
        if (unfinishedBytes == 0) eventStartMs = nowMs;
        unfinishedBytes = bytesOfUnfinishedEvent;
        lastTextMs = nowMs;
    }

    /** Records that the last event of the stream has arrived. */
    public void lastEventArrived(double nowMs) {
        lastEventMs = Math.min(lastEventMs, nowMs);
    }

    /** Records that the stream is read again after a pause, during which it could not go on. */
    public void resumed(double nowMs) {
        lastTextMs = nowMs;
        eventStartMs = nowMs;
        if (lastEventMs < nowMs) lastEventMs = nowMs;
    }

    /** When text of an event last arrived, or the stream was last read again. */
    public double lastTextMs() {
        return lastTextMs;
    }

    /** Until when the stream may go on if there is no progress. */
    public double endByMs() {
        return progressMs() + STALL_TIMEOUT_MS;
    }

    /** Why the stream has to be ended at that time. */
    public Flaw flaw() {
        if (lastEventMs <= progressMs()) return Flaw.NO_END;
        return isEndless() ? Flaw.ENDLESS_EVENT : Flaw.STALLED;
    }

    private double progressMs() {
        return Math.min(lastEventMs, isEndless() ? eventStartMs : lastTextMs);
    }

    private boolean isEndless() {
        return unfinishedBytes > limits.slowEventBytes();
    }
}
