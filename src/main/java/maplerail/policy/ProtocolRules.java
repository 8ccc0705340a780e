package maplerail.policy;

import maplerail.Router.Limits;
import maplerail.Router.Member;
import maplerail.Router.Repeat;
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
    public static Reason checkSend(RequestState request, Target target, Limits limits, double nowMs) {
        Reason begin = checkBegin(request, target, nowMs);
        if (begin != Reason.ALLOWED) return begin;
        Reason once = checkAttempt(request, limits);
        return once == Reason.ALLOWED ? checkRepeat(request, target, 0, nowMs) : once;
    }

    /** Whether an attempt that counts already, but of which not a byte has gone out, may still begin now. */
    public static Reason checkBegin(RequestState request, Target target, double nowMs) {
        if (request.over()) return Reason.REQUEST_OVER;
        if (nowMs >= request.deadlineMs()) return Reason.DEADLINE_PASSED;
        return target.inService() ? Reason.ALLOWED : Reason.ENGINE_NOT_IN_SERVICE;
    }

    /** Whether a further attempt may be out, wherever it goes. */
    public static Reason checkAttempt(RequestState request, Limits limits) {
        if (request.over()) return Reason.REQUEST_OVER;
        if (request.attempts().size() >= limits.maxAttempts()) return Reason.ATTEMPTS_SPENT;
        if (request.anyOut() && !limits.secondCopies()) return Reason.ATTEMPT_OUT;
        return Reason.ALLOWED;
    }

    /**
     * Whether an attempt at an engine may follow earlier ones. An attempt binds all later ones, also those that only
     * read, while it is out, and for good if it may have run.
     */
    public static Reason checkRepeat(RequestState request, Target target, double marginMs, double nowMs) {
        PriorAttempt first = request.firstThatBinds();
        if (first == null || isPure(request)) return Reason.ALLOWED;
        if (request.requestClass().repeat() == Repeat.UNSAFE) {
            return first.mayHaveRun() ? Reason.MAY_HAVE_RUN : Reason.ATTEMPT_OUT;
        }
        if (nowMs >= windowEndMs(request, first) - marginMs) return Reason.REPEAT_WINDOW_OVER;
        return sameGroup(request.requestClass().scope(), first, target) ? Reason.ALLOWED : Reason.OUTSIDE_REPEAT_SCOPE;
    }

    /** Whether the engines of a group drop the repeats of an attempt; a place that is not told is in no group. */
    private static boolean sameGroup(Scope scope, PriorAttempt first, Target target) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.target().zone() == target.zone() && first.target().zone() != Member.UNKNOWN_PLACE;
            case CELL -> first.target().cell() == target.cell() && first.target().cell() != Member.UNKNOWN_PLACE;
        };
    }

    /** Until when a further attempt may begin, by what may have run already, less a margin. */
    public static double repeatUntilMs(RequestState request, double marginMs) {
        PriorAttempt first = request.firstThatMayHaveRun();
        if (first == null || isPure(request)) return Double.POSITIVE_INFINITY;
        if (request.requestClass().repeat() == Repeat.UNSAFE) return Double.NEGATIVE_INFINITY;
        return windowEndMs(request, first) - marginMs;
    }

    private static double windowEndMs(RequestState request, PriorAttempt first) {
        return first.sentMs() + request.requestClass().keyTtlMs();
    }

    /** Whether the client may be told that trying again is harmless. */
    public static Reason checkRefusal(RequestState request, double marginMs, double nowMs) {
        if (isPure(request)) return Reason.ALLOWED;
        boolean everywhere = request.requestClass().repeat() == Repeat.KEYED
                && request.requestClass().scope() == Scope.ALL;
        // While an attempt is out there is no proof that it does nothing.
        if (!everywhere && request.anyOut()) return Reason.ATTEMPT_OUT;
        if (request.firstThatMayHaveRun() == null) return Reason.ALLOWED;
        if (request.requestClass().repeat() == Repeat.UNSAFE) return Reason.MAY_HAVE_RUN;
        if (!everywhere) return Reason.OUTSIDE_REPEAT_SCOPE;
        return nowMs >= repeatUntilMs(request, marginMs) ? Reason.REPEAT_WINDOW_OVER : Reason.ALLOWED;
    }

    /** Whether a request that has arrived may be taken. */
    public static Reason checkAccept(boolean shuttingDown) {
        return shuttingDown ? Reason.SHUTTING_DOWN : Reason.ALLOWED;
    }

    /** Whether a client's connection may be closed that has been without a request for so long. */
    public static Reason checkClose(boolean inUse, double idleMs, double leastIdleMs) {
        if (inUse) return Reason.CONNECTION_IN_USE;
        return idleMs >= leastIdleMs ? Reason.ALLOWED : Reason.CONNECTION_FRESH;
    }

    private static boolean isPure(RequestState request) {
        return request.requestClass() == null || request.requestClass().repeat() == Repeat.PURE;
    }
}
