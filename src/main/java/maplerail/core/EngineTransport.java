package maplerail.core;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;

/** The port through which attempts go out. It must never make an attempt twice on its own. */
public interface EngineTransport {
    /**
     * Makes one attempt. The answer hears exactly one {@code ended}, never before this call returns. An attempt that
     * had to wait for its connection asks whether it may still begin right before its first byte is written.
     */
    AttemptHandle send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
            AnswerListener answer);

    /** Lets go of what an engine holds for a request, trying again up to a time; tells once how that ended. */
    void release(long engine, String id, double untilMs, Consumer<ReleaseResult> ended);

    /** How a release ended: whether the engine answered, after how many tries and how long. */
    record ReleaseResult(boolean answered, int tries, double tookMs) {}

    /** An attempt on its way. */
    interface AttemptHandle {
        /** How far it has come, for the log. */
        default String trace() {
            return "";
        }

        /** True while not a byte of it has gone out. */
        boolean unsent();

        /** True if the head of a successful answer has come: what the attempt waited for has surely been taken. */
        default boolean answerBegun() {
            return false;
        }

        /** Gives it up: nothing is heard of it any more. */
        void abort();

        /** Stops taking the answer's events. */
        void pause();

        /** Takes them again. */
        void resume();
    }

    /** What comes back. */
    interface AnswerListener {
        /** A piece of a streaming answer. */
        void event(byte[] event);

        /** The end: the engine says that the request itself is wrong. Another would say so too. */
        void rejected();

        /** The end; {@code kept} is the part of the prompt that needed no reading, NaN if it is not told. */
        void ended(Router.Outcome outcome, double kept);
    }
}
