package maplerail.core;

import java.util.HashMap;
import java.util.Map;

/** First stage: assigns each request a number and adds it to the registry. */
final class Admission {
    private final EventLoop loop;
    private final RequestRegistry registry;
    private final Map<String, ActiveRequest> openById = new HashMap<>();
    private long lastNumber;

    Admission(EventLoop loop, RequestRegistry registry) {
        this.loop = loop;
        this.registry = registry;
    }

    /**
     * Opens a request. Returns null if a request with the same id is open, as engines could not tell the two apart.
     */
    ActiveRequest admit(ServiceRequest request, Caller caller) {
        if (openById.containsKey(request.id())) return null;
        ActiveRequest active = new ActiveRequest(++lastNumber, request, caller, request.deadlineMs(loop.nowMs()));
        openById.put(request.id(), active);
        registry.open(active, () -> openById.remove(request.id()));
        return active;
    }
}
