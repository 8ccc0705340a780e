package maplerail.core;

import java.util.function.Consumer;
import maplerail.policy.StreamProgress;

/**
 * Ends streams that do not go on. Guards against an engine that falls silent in the middle of a stream, or goes on with
 * what is no answer: its connection stays open and no deadline applies any more, so the client would wait forever
 * instead of requesting the rest elsewhere.
 */
final class StreamSupervisor {
    private final EventLoop loop;
    private final ServiceCounters counters;
    private final Consumer<ActiveRequest.Attempt> endStream;

    StreamSupervisor(EventLoop loop, ServiceCounters counters, Consumer<ActiveRequest.Attempt> endStream) {
        this.loop = loop;
        this.counters = counters;
        this.endStream = endStream;
    }

    /** Supervises the stream of an attempt until the attempt ends; its timeout is the next check. */
    void supervise(ActiveRequest.Attempt attempt) {
        // A paused stream can't go on; its time starts anew with its end.
        double checkMs = attempt.paused ? loop.nowMs() + StreamProgress.STALL_TIMEOUT_MS : attempt.progress.endByMs();
        attempt.timeout = loop.schedule(checkMs, () -> attempt.timeout = loop.runAfterInput(() -> check(attempt)));
    }

    private void check(ActiveRequest.Attempt attempt) {
        if (attempt.ended) return;
        if (attempt.paused || loop.nowMs() < attempt.progress.endByMs()) {
            supervise(attempt);
            return;
        }
        attempt.flaw = attempt.progress.flaw();
        counters.count(attempt.flaw);
        endStream.accept(attempt);
    }
}
