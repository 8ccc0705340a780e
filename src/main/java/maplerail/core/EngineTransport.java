package maplerail.core;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;

/** Sends attempts and releases to engines. It must never send an attempt twice on its own. */
public interface EngineTransport {
    /**
     * Sends one attempt. Unless the attempt is aborted, the listener gets exactly one {@code rejected} or {@code ended},
     * never before this call returns.
     *
     * @param deadlineMs time at which the attempt times out, on the loop's clock
     * @param mayStart called right before the first byte is written if the attempt had to wait for its connection
     */
    AttemptHandle send(long engine, ServiceRequest request, double deadlineMs, BooleanSupplier mayStart,
            AnswerListener answer);

    /**
     * Releases what an engine holds for a request, retrying until the deadline. Reports the result once.
     *
     * @param mayRetry checked before each further try
     */
    void release(long engine, String id, double deadlineMs, BooleanSupplier mayRetry, Consumer<ReleaseResult> onEnded);

    /** Releases what an engine holds for a request, retrying until the deadline in any case. */
    default void release(long engine, String id, double deadlineMs, Consumer<ReleaseResult> onEnded) {
        release(engine, id, deadlineMs, () -> true, onEnded);
    }

    /** Result of a release: whether the engine answered, the number of tries and the total duration. */
    record ReleaseResult(boolean answered, int tries, double durationMs) {}

    /** Controls an attempt that has been handed to the transport. */
    interface AttemptHandle {
        /** Describes the attempt's progress, for the log. */
        default String trace() {
            return "";
        }

        /** True while none of the attempt's bytes have been sent. */
        boolean unsent();

        /**
         * True if the head of a successful answer has arrived, which proves that the engine has taken the held state.
         */
        default boolean responseStarted() {
            return false;
        }

        /** When the attempt had been written to its connection, NaN before that. */
        default double writtenMs() {
            return Double.NaN;
        }

        /** Aborts the attempt. The listener gets no further calls. */
        void abort();

        /** Stops reading the answer's events. */
        void pause();

        /** Resumes reading the answer's events. */
        void resume();
    }

    /** Receives the answer to an attempt. */
    interface AnswerListener {
        /** Receives a piece of a streaming answer: events, and what stands between them. */
        void event(byte[] event);

        /** Receives a piece of a streaming answer behind its first event that holds no event, as comments do. */
        default void comment(byte[] comment) {}

        /** Text of an event has arrived, and so many bytes of the answer are not passed on yet. */
        default void textArrived(int unfinishedBytes) {}

        /** The last event of the answer has been passed on; only its end may follow. */
        default void lastEvent() {}

        /** The attempt has ended: the engine rejected the request as invalid, as any other engine would. */
        void rejected();

        /**
         * The attempt has ended.
         *
         * @param cachedTokens number of prompt tokens that were cached, NaN if unknown
         */
        void ended(Router.Outcome outcome, double cachedTokens);
    }
}
