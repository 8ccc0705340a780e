package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router;
import maplerail.core.RuleMonitor.Breach;

/** Last stage: the open requests. Each gets one final answer, and nothing is left held for it anywhere. */
final class RequestRegistry {
    private static final double SLACK_MS = 50; // that the rules on sockets add to each time limit

    private final HeldStates held;
    private final Loop loop;
    private final Quotas quotas;
    private final double answerSlackMs;
    private final RuleMonitor monitor;
    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    private final Map<Long, Runnable> closers = new HashMap<>();
    private int unanswered;

    RequestRegistry(HeldStates held, Loop loop, Quotas quotas, Router.Rules rules, RuleMonitor monitor) {
        this.held = held;
        this.loop = loop;
        this.quotas = quotas;
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

    /** After each end of an attempt: what cut reads left is released, and a request that is done is removed. */
    void settle(ActiveRequest active) {
        if (active.anyOut()) return;
        if (active.answered || active.holds.isEmpty()) held.release(active);
        if (active.answered && requests.remove(active.number) != null) closers.remove(active.number).run();
    }
}
