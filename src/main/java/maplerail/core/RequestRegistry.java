package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.core.RuleMonitor.Breach;

/** Last stage: the open requests. Each gets one final answer, and nothing is left held for it anywhere. */
final class RequestRegistry {
    private static final double SLACK_MS = 50; // that the rules on sockets add to each time limit
    private static final double HELD_SLACK_MS = 300; // that they add to the limit on what is held
    /** After a release, when what a cut reader finished all the same is next let go. */
    private static final double FIRST_REPEAT_MS = 120;
    /** After a cut, for which a reader may read on. */
    private static final double LAST_REPEAT_MS = 1_600;
    /** Between two of these, in pin limits, so that a read which ends in between is let go within the limit. */
    private static final double REPEAT_LIMITS = 0.7;
    /** For which a release is tried, in pin limits: an engine that comes back into reach later still holds the state. */
    private static final double RETRY_LIMITS = 4;

    private final Engines engines;
    private final Loop loop;
    private final Quotas quotas;
    private final double pinLimitMs;
    private final double answerSlackMs;
    private final RuleMonitor monitor;
    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    private final Map<Long, Runnable> closers = new HashMap<>();
    private int unanswered;

    RequestRegistry(Engines engines, Loop loop, Quotas quotas, Router.Rules rules, RuleMonitor monitor) {
        this.engines = engines;
        this.loop = loop;
        this.quotas = quotas;
        this.pinLimitMs = rules.pinLimitMs();
        this.answerSlackMs = rules.answerSlackMs() + SLACK_MS;
        this.monitor = monitor;
    }

    void open(ActiveRequest active, Runnable closer) {
        requests.put(active.number, active);
        closers.put(active.number, closer);
        unanswered++;
    }

    ActiveRequest find(long number) {
        return requests.get(number);
    }

    List<ActiveRequest> all() {
        return List.copyOf(requests.values());
    }

    int unanswered() {
        return unanswered;
    }

    int size() {
        return requests.size();
    }

    /** True the first time only: whoever gets true gives the final answer, or knows that nobody wants one. */
    boolean answer(ActiveRequest active) {
        if (active.answered) return false;
        active.answered = true;
        double lateMs = loop.nowMs() - active.deadlineMs;
        if (active.winner == null && lateMs > answerSlackMs) {
            monitor.breach(Breach.ANSWER_LATE, active.request.id(), "by " + Math.round(lateMs) + " ms");
        }
        unanswered--;
        if (active.guard != null) active.guard.cancel();
        if (active.admitted) quotas.left(active.request);
        return true;
    }

    /** Lets go of what may be held; what an attempt still waits for stays. */
    void release(ActiveRequest active) {
        if (active.anyOut()) return;
        for (long engine : List.copyOf(active.mayHold)) {
            if (!active.outAt(engine)) releaseAt(active, engine);
        }
    }

    /** Lets go of what readers said that they hold, though an attempt is out that may wait for it. */
    void releaseHeld(ActiveRequest active) {
        for (long engine : List.copyOf(active.holds)) releaseAt(active, engine);
    }

    private void releaseAt(ActiveRequest active, long engine) {
        checkHeld(active, engine);
        active.mayHold.remove(engine);
        active.holds.remove(engine);
        engines.release(engine, active.request.id(), loop.nowMs() + RETRY_LIMITS * pinLimitMs, () -> {});
        // Guards against a release that overtakes the end of a connection, and against a reader that goes on reading
        // though nobody waits: the state that it leaves then is held like any other, also when the request has gone on
        // elsewhere and ends long after the cut.
        double lastMs = active.cutReadsMs.getOrDefault(engine, Double.NEGATIVE_INFINITY) + LAST_REPEAT_MS;
        for (double at = loop.nowMs() + FIRST_REPEAT_MS; at <= lastMs; at += REPEAT_LIMITS * pinLimitMs) {
            loop.at(at, () -> {
                boolean inUse = active.outAt(engine) || active.holds.contains(engine) || active.winner != null;
                if (!active.answered && inUse) return;
                engines.release(engine, active.request.id(), loop.nowMs() + pinLimitMs, () -> {});
            });
        }
    }

    private void checkHeld(ActiveRequest active, long engine) {
        if (!active.holds.contains(engine)) return;
        double heldMs = loop.nowMs()
                - active.attempts.stream().filter(attempt -> attempt.outcome != Outcome.UNREACHABLE)
                        .mapToDouble(attempt -> attempt.endedMs).max().orElse(loop.nowMs());
        if (heldMs <= pinLimitMs + HELD_SLACK_MS) return;
        monitor.breach(Breach.STATE_HELD, active.request.id(), "at " + Long.toHexString(engine) + " for "
                + Math.round(heldMs) + " ms");
    }

    /** After each end of an attempt: what cut reads left is released, and a request that is done is removed. */
    void settle(ActiveRequest active) {
        if (active.anyOut()) return;
        if (active.answered || active.holds.isEmpty()) release(active);
        if (active.answered && requests.remove(active.number) != null) closers.remove(active.number).run();
    }
}
