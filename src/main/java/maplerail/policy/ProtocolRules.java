package maplerail.policy;

import maplerail.Router.Limits;
import maplerail.Router.Repeat;
import maplerail.Router.RequestClass;
import maplerail.Router.Role;
import maplerail.Router.Scope;

/**
 * The one place that allows or refuses a send, a repeat, a refusal, a start or a close. The decision module asks it
 * before it orders something, and the core asks it again, with what really happened on the wire, before anything goes
 * out. Every refusal has a {@link Reason}, which is what logs and counters show.
 */
public final class ProtocolRules {
    /** Why an act is allowed or not. */
    public enum Reason {
        /** Nothing speaks against it. */
        ALLOWED,
        /** The request has its final answer, or its stream has begun. */
        REQUEST_OVER,
        /** The client has given up by now. */
        DEADLINE_PASSED,
        /** The settings allow no further attempt. */
        ATTEMPTS_SPENT,
        /** Another attempt is out, and the settings allow no second copy. */
        ATTEMPT_OUT,
        /** The engine drains, has left the list or was never on it. */
        ENGINE_NOT_IN_SERVICE,
        /** It may have taken effect, and its class must not run twice. */
        MAY_HAVE_RUN,
        /** It may have taken effect, and the time in which engines drop its repeats is over. */
        REPEAT_WINDOW_OVER,
        /** It may have taken effect, and this engine does not drop its repeats. */
        OUTSIDE_REPEAT_SCOPE,
        /** The gateway ends and takes no further request. */
        SHUTTING_DOWN,
        /** A request is open or on its way on the connection. */
        CONNECTION_IN_USE,
        /** The client may still rely on the idle connection. */
        CONNECTION_FRESH
    }

    /** An engine as the target of an attempt. */
    public record Target(Role role, boolean inService, int zone, int cell) {}

    private ProtocolRules() {}

    /** Whether an attempt may go out now. */
    public static Reason send(RequestState request, Target target, Limits limits, double nowMs) {
        Reason begin = begin(request, target, nowMs);
        if (begin != Reason.ALLOWED) return begin;
        Reason once = attempt(request, limits);
        return once == Reason.ALLOWED ? repeat(request, target, 0, nowMs) : once;
    }

    /** Whether an attempt that counts already, but of which not a byte has gone out, may still begin now. */
    public static Reason begin(RequestState request, Target target, double nowMs) {
        if (request.over()) return Reason.REQUEST_OVER;
        if (nowMs >= request.deadlineMs()) return Reason.DEADLINE_PASSED;
        return target.inService() ? Reason.ALLOWED : Reason.ENGINE_NOT_IN_SERVICE;
    }

    /** Whether a further attempt may be out, wherever it goes. */
    public static Reason attempt(RequestState request, Limits limits) {
        if (request.over()) return Reason.REQUEST_OVER;
        if (request.attempts().size() >= limits.maxAttempts()) return Reason.ATTEMPTS_SPENT;
        if (request.anyOut() && !limits.secondCopies()) return Reason.ATTEMPT_OUT;
        return Reason.ALLOWED;
    }

    /** Whether an attempt at an engine may follow those that may have run; a read has no effect. */
    public static Reason repeat(RequestState request, Target target, double marginMs, double nowMs) {
        PriorAttempt first = request.firstThatMayHaveRun();
        if (target.role() == Role.READ || first == null || isPure(request)) return Reason.ALLOWED;
        if (request.requestClass().repeat() == Repeat.UNSAFE) return Reason.MAY_HAVE_RUN;
        if (nowMs >= repeatUntilMs(request, marginMs)) return Reason.REPEAT_WINDOW_OVER;
        boolean dropped = switch (request.requestClass().scope()) {
            case ALL -> true;
            case ZONE -> target.zone() == first.zone();
            case CELL -> target.cell() == first.cell();
        };
        return dropped ? Reason.ALLOWED : Reason.OUTSIDE_REPEAT_SCOPE;
    }

    /** Until when an attempt that takes effect may begin, by what may have run already, less a margin. */
    public static double repeatUntilMs(RequestState request, double marginMs) {
        PriorAttempt first = request.firstThatMayHaveRun();
        if (first == null || isPure(request)) return Double.POSITIVE_INFINITY;
        RequestClass requestClass = request.requestClass();
        if (requestClass.repeat() == Repeat.UNSAFE) return Double.NEGATIVE_INFINITY;
        return first.sentMs() + requestClass.keyTtlMs() - marginMs;
    }

    /** Whether the client may be told that trying again is harmless. */
    public static Reason refusal(RequestState request, double marginMs, double nowMs) {
        RequestClass requestClass = request.requestClass();
        if (requestClass == null || requestClass.repeat() == Repeat.PURE) return Reason.ALLOWED;
        // While an attempt is out there is no proof that it does nothing.
        if (requestClass.repeat() == Repeat.UNSAFE && request.anyOut()) return Reason.ATTEMPT_OUT;
        if (request.firstThatMayHaveRun() == null) return Reason.ALLOWED;
        if (requestClass.repeat() == Repeat.UNSAFE) return Reason.MAY_HAVE_RUN;
        if (nowMs >= repeatUntilMs(request, marginMs)) return Reason.REPEAT_WINDOW_OVER;
        return requestClass.scope() == Scope.ALL ? Reason.ALLOWED : Reason.OUTSIDE_REPEAT_SCOPE;
    }

    /** Whether a request that has arrived may be taken. */
    public static Reason start(boolean shuttingDown) {
        return shuttingDown ? Reason.SHUTTING_DOWN : Reason.ALLOWED;
    }

    /** Whether a client's connection may be closed that has been without a request for so long. */
    public static Reason close(boolean inUse, double idleMs, double leastIdleMs) {
        if (inUse) return Reason.CONNECTION_IN_USE;
        return idleMs >= leastIdleMs ? Reason.ALLOWED : Reason.CONNECTION_FRESH;
    }

    private static boolean isPure(RequestState request) {
        return request.requestClass() == null || request.requestClass().repeat() == Repeat.PURE;
    }
}
