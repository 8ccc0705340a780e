package maplerail.core;

import maplerail.Router.Outcome;

/** Fifth stage: passes the events of a request's winning attempt to the caller as they arrive. */
final class Relay {
    private final RequestRegistry registry;
    private final EventLoop loop;
    private final FailureLog failureLog;
    private final ServiceCounters counters;

    Relay(RequestRegistry registry, EventLoop loop, FailureLog failureLog, ServiceCounters counters) {
        this.registry = registry;
        this.loop = loop;
        this.failureLog = failureLog;
        this.counters = counters;
    }

    void onEvent(ActiveRequest.Attempt attempt, byte[] event) {
        if (attempt.active.answered) return;
        if (attempt.active.caller.event(event)) return;
        attempt.paused = true;
        attempt.handle.pause();
    }

    void writable(ActiveRequest active) {
        if (active.winner == null || active.winner.ended) return;
        active.winner.paused = false;
        active.winner.progress.resumed(loop.nowMs());
        active.winner.handle.resume();
    }

    /** Ends the answer. Only a stream that reached its end is reported as complete. */
    void onEnded(ActiveRequest.Attempt attempt, Outcome outcome) {
        ActiveRequest active = attempt.active;
        if (!registry.claimFinalAnswer(active)) return;
        counters.count(outcome == Outcome.SERVED ? FinalAnswer.SERVED : FinalAnswer.BROKEN);
        if (outcome == Outcome.SERVED) {
            active.caller.end();
            return;
        }
        failureLog.streamBroken(active, "broken (" + outcome + ")");
        active.caller.broken();
    }
}
