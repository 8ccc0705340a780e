package maplerail.core;

import maplerail.Router.Outcome;

/** Fifth stage: passes the events of the one attempt that became the caller's, as they come. */
final class Relay {
    private final RequestRegistry registry;
    private final Loop loop;
    private final FailureLog failureLog;
    private final ServiceCounters counters;

    Relay(RequestRegistry registry, Loop loop, FailureLog failureLog, ServiceCounters counters) {
        this.registry = registry;
        this.loop = loop;
        this.failureLog = failureLog;
        this.counters = counters;
    }

    void event(ActiveRequest.Attempt attempt, byte[] event) {
        if (attempt.active.answered) return;
        if (attempt.active.caller.event(event)) return;
        attempt.paused = true;
        attempt.sending.pause();
    }

    void writable(ActiveRequest active) {
        if (active.winner == null || active.winner.ended) return;
        active.winner.paused = false;
        active.winner.heardMs = loop.nowMs();
        active.winner.sending.resume();
    }

    /** Only a stream that came to its end is whole; any other must not look so. */
    void ended(ActiveRequest.Attempt attempt, Outcome outcome) {
        ActiveRequest active = attempt.active;
        if (!registry.answer(active)) return;
        counters.count(outcome == Outcome.SERVED ? FinalAnswer.SERVED : FinalAnswer.BROKEN);
        if (outcome == Outcome.SERVED) {
            active.caller.end();
            return;
        }
        failureLog.broken(active, "broken (" + outcome + ")");
        active.caller.broken();
    }
}
