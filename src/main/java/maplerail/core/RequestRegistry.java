package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router;
import maplerail.core.RuleMonitor.Breach;

/** Last stage: the open requests. Ensures one final answer for each and the release of all states held for it. */
final class RequestRegistry {
    /** Added to each time limit by the protocol rules for sockets. */
    private static final double EXTRA_ANSWER_SLACK_MS = 50;

    private final HeldStates heldStates;
    private final EventLoop loop;
    private final Quotas quotas;
    private final double answerSlackMs;
    private final RuleMonitor monitor;
    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    private final Map<Long, Runnable> closeActions = new HashMap<>();
    private int unanswered;

    RequestRegistry(HeldStates heldStates, EventLoop loop, Quotas quotas, Router.Rules rules, RuleMonitor monitor) {
        this.heldStates = heldStates;
        this.loop = loop;
        this.quotas = quotas;
        this.answerSlackMs = rules.answerSlackMs() + EXTRA_ANSWER_SLACK_MS;
        this.monitor = monitor;
    }

    void open(ActiveRequest active, Runnable closeAction) {
        requests.put(active.number, active);
        closeActions.put(active.number, closeAction);
        heldStates.onOpened(active);
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

    /**
     * Marks a request as answered. Returns true the first time only; that call's caller gives the final answer, or none
     * if the client no longer waits.
     */
    boolean claimFinalAnswer(ActiveRequest active) {
        if (active.answered) return false;
        active.answered = true;
        double lateMs = loop.nowMs() - active.deadlineMs;
        if (active.winner == null && lateMs > answerSlackMs) {
            monitor.report(Breach.ANSWER_LATE, active.request.id(), "by " + Math.round(lateMs) + " ms");
        }
        unanswered--;
        if (active.deadlineGuard != null) active.deadlineGuard.cancel();
        discardPayload(active);
        if (active.admitted) quotas.onRequestClosed(active.request);
        return true;
    }

    /** Lets go of a request's payload: its stream has started or it is answered, so that no attempt follows. */
    void discardPayload(ActiveRequest active) {
        if (active.payloadDiscarded) return;
        active.payloadDiscarded = true;
        if (active.request.payload() != null) active.request.payload().discard();
        if (active.admitted) quotas.onPayloadDiscarded(active.request);
    }

    /**
     * Releases states that are no longer needed, such as those that aborted reads may have left, and removes the request
     * if it is done. Called when attempts have ended.
     */
    void settle(ActiveRequest active) {
        if (active.hasAttemptInFlight()) return;
        if (active.answered || active.leases.isEmpty()) heldStates.release(active);
        if (active.answered && requests.remove(active.number) != null) closeActions.remove(active.number).run();
    }
}
