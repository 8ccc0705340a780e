package maplerail.core;

import java.util.HashMap;
import java.util.Map;

/** First stage: gives each request its number and enters it in the registry. */
final class Admission {
    private final Loop loop;
    private final RequestRegistry registry;
    private final Map<String, ActiveRequest> open = new HashMap<>();
    private long last;

    Admission(Loop loop, RequestRegistry registry) {
        this.loop = loop;
        this.registry = registry;
    }

    /** The open request, or null for an id that is open already: two of one id could not be told apart by engines. */
    ActiveRequest take(ServiceRequest request, Caller caller) {
        if (open.containsKey(request.id())) return null;
        ActiveRequest active = new ActiveRequest(++last, request, caller, request.deadlineMs(loop.nowMs()));
        open.put(request.id(), active);
        registry.open(active, () -> open.remove(request.id()));
        return active;
    }
}
