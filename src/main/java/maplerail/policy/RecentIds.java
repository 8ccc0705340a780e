package maplerail.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import maplerail.Router.Repeat;
import maplerail.policy.ProtocolRules.Reason;

/**
 * The ids of requests that may have run a short while ago and must not run twice. An id comes again when its client
 * leaves and sends the same request on another connection.
 */
public final class RecentIds {
    private static final double KEPT_MS = 60_000; // far longer than clients retry
    private static final int MAX_IDS = 4_096;

    /** When each request was over; the oldest comes first. */
    private final Map<String, Double> overMs = new LinkedHashMap<>();

    /** Records that a request is over. */
    public void add(String id, RequestState request, double nowMs) {
        removeOld(nowMs);
        boolean mayRunAgain = request.requestClass() != null && request.requestClass().repeat() == Repeat.PURE;
        if (mayRunAgain || request.firstThatMayHaveRun() == null) return;
        overMs.remove(id);
        overMs.put(id, nowMs);
        if (overMs.size() > MAX_IDS) overMs.remove(overMs.keySet().iterator().next());
    }

    /** Whether a request with this id may run. */
    public Reason check(String id, double nowMs) {
        removeOld(nowMs);
        return overMs.containsKey(id) ? Reason.MAY_HAVE_RUN : Reason.ALLOWED;
    }

    private void removeOld(double nowMs) {
        Iterator<Double> oldest = overMs.values().iterator();
        while (oldest.hasNext() && nowMs - oldest.next() >= KEPT_MS) oldest.remove();
    }
}
