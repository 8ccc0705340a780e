package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router;
import maplerail.policy.ProtocolRules.Reason;
import maplerail.policy.RecentIds;

/** First stage: assigns each request a number and adds it to the registry. */
final class Admission {
    private final EventLoop loop;
    private final RequestRegistry registry;
    private final List<Router.RequestClass> classes;
    private final RecentIds recentIds = new RecentIds();
    private final Map<String, ActiveRequest> openById = new HashMap<>();
    private long lastNumber;

    Admission(EventLoop loop, RequestRegistry registry, List<Router.RequestClass> classes) {
        this.classes = classes;
        this.loop = loop;
        this.registry = registry;
    }

    /**
     * Opens a request. Returns null if a request with the same id is open, as engines could not tell the two apart, or
     * if one may have run that must not run twice.
     */
    ActiveRequest admit(ServiceRequest request, Caller caller) {
        if (openById.containsKey(request.id())) return null;
        if (recentIds.check(request.id(), loop.nowMs()) != Reason.ALLOWED) return null;
        ActiveRequest active = new ActiveRequest(++lastNumber, request, caller, request.deadlineMs(loop.nowMs()));
        openById.put(request.id(), active);
        registry.open(active, () -> close(active));
        return active;
    }

    private void close(ActiveRequest active) {
        String id = active.request.id();
        openById.remove(id);
        recentIds.add(id, active.toRequestState(classes), loop.nowMs());
    }
}
