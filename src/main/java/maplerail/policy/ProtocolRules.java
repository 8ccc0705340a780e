package maplerail.policy;

import maplerail.Router.Limits;
import maplerail.Router.Member;
import maplerail.Router.Repeat;
import maplerail.Router.Role;
import maplerail.Router.Scope;

/**
 * The only place that allows or denies a send, a repeat, a refusal, the acceptance of a request or the closing of a
 * connection. The decision module checks with it before it returns an action, and the core checks again, with the state
 * on the wire, before anything is sent. Each denial has a {@link Reason}, which logs and counters show.
 */
public final class ProtocolRules {
    /** Why something is allowed or denied. */
    public enum Reason {
        /** No rule denies it. */
        ALLOWED,
        /** The request has its final answer, or its stream has started. */
        REQUEST_OVER,
        /** The client no longer waits. */
        DEADLINE_PASSED,
        /** The client may have left: what it has sent could not be read to its end. */
        CLIENT_MAY_HAVE_LEFT,
        /** The settings allow no further attempt. */
        ATTEMPTS_SPENT,
        /** Another attempt is in flight, and the settings allow no second copy. */
        ATTEMPT_OUT,
        /** The engine is draining, has left the list or was never on it. */
        ENGINE_NOT_IN_SERVICE,
        /** It may have taken effect, and its class must not run twice. */
        MAY_HAVE_RUN,
        /** It may have taken effect, and the window in which engines drop its repeats is over. */
        REPEAT_WINDOW_OVER,
        /** It may have taken effect, and this engine does not drop its repeats. */
        OUTSIDE_REPEAT_SCOPE,
        /** The gateway is shutting down and accepts no further request. */
        SHUTTING_DOWN,
        /** A request is open or arriving on the connection. */
        CONNECTION_IN_USE,
        /** The client may still rely on the idle connection. */
        CONNECTION_FRESH
    }

    /** Whether the client of a request is still there. */
    public enum ClientPresence {
        /** All that it has sent is read, and it has not closed its connection. */
        CONNECTED,
        /** It has closed its connection. */
        DISCONNECTED,
        /** Not all that it has sent is read; behind the rest it may have closed its connection. */
        UNKNOWN
    }

    /** An engine as the target of an attempt. */
    public record Target(Role role, boolean inService, int zone, int cell) {}

    private ProtocolRules() {}

    /** Whether work may begin for a client now. */
    public static Reason checkClient(ClientPresence presence) {
        return switch (presence) {
            case CONNECTED -> Reason.ALLOWED;
            case DISCONNECTED -> Reason.REQUEST_OVER;
            case UNKNOWN -> Reason.CLIENT_MAY_HAVE_LEFT;
        };
    }

    /** Whether a new attempt may be sent now. */
    public static Reason checkSend(RequestState request, Target target, Limits limits, double nowMs) {
        Reason startReason = checkStart(request, target, nowMs);
        if (startReason != Reason.ALLOWED) return startReason;
        Reason attemptReason = checkAttempt(request, limits);
        return attemptReason == Reason.ALLOWED ? checkRepeat(request, target, 0, nowMs) : attemptReason;
    }

    /** Whether an attempt that already counts, but of which no byte has been written, may still start now. */
    public static Reason checkStart(RequestState request, Target target, double nowMs) {
        if (request.answered()) return Reason.REQUEST_OVER;
        if (nowMs >= request.deadlineMs()) return Reason.DEADLINE_PASSED;
        return target.inService() ? Reason.ALLOWED : Reason.ENGINE_NOT_IN_SERVICE;
    }

    /** Whether a further attempt may be in flight, at any engine. */
    public static Reason checkAttempt(RequestState request, Limits limits) {
        if (request.answered()) return Reason.REQUEST_OVER;
        if (request.attempts().size() >= limits.maxAttempts()) return Reason.ATTEMPTS_SPENT;
        if (request.anyInFlight() && !limits.secondCopies()) return Reason.ATTEMPT_OUT;
        return Reason.ALLOWED;
    }

    /**
     * Whether an attempt at an engine may follow earlier ones. An attempt binds all later ones, reads included, while it
     * is in flight, and permanently if it may have run.
     */
    public static Reason checkRepeat(RequestState request, Target target, double marginMs, double nowMs) {
        PriorAttempt first = request.firstBinding();
        if (first == null || isPure(request)) return Reason.ALLOWED;
        if (request.requestClass().repeat() == Repeat.UNSAFE) {
            return first.mayHaveRun() ? Reason.MAY_HAVE_RUN : Reason.ATTEMPT_OUT;
        }
        if (nowMs >= windowEndMs(request, first) - marginMs) return Reason.REPEAT_WINDOW_OVER;
        return sameGroup(request.requestClass().scope(), first, target) ? Reason.ALLOWED : Reason.OUTSIDE_REPEAT_SCOPE;
    }

    /** Whether an engine drops the repeats of the first attempt; an unknown place is in no group. */
    private static boolean sameGroup(Scope scope, PriorAttempt first, Target target) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.target().zone() == target.zone() && first.target().zone() != Member.UNKNOWN_PLACE;
            case CELL -> first.target().cell() == target.cell() && first.target().cell() != Member.UNKNOWN_PLACE;
        };
    }

    /** Until when a further attempt may start, given the attempts that may have run, less a margin. */
    public static double latestRepeatMs(RequestState request, double marginMs) {
        PriorAttempt first = request.firstThatMayHaveRun();
        if (first == null || isPure(request)) return Double.POSITIVE_INFINITY;
        if (request.requestClass().repeat() == Repeat.UNSAFE) return Double.NEGATIVE_INFINITY;
        return windowEndMs(request, first) - marginMs;
    }

    private static double windowEndMs(RequestState request, PriorAttempt first) {
        return first.sentMs() + request.requestClass().keyTtlMs();
    }

    /** Whether the client may be told that a retry is harmless. */
    public static Reason checkRefusal(RequestState request, double marginMs, double nowMs) {
        if (isPure(request)) return Reason.ALLOWED;
        boolean droppedEverywhere = request.requestClass().repeat() == Repeat.KEYED
                && request.requestClass().scope() == Scope.ALL;
        // While an attempt is in flight there is no proof that it has no effect.
        if (!droppedEverywhere && request.anyInFlight()) return Reason.ATTEMPT_OUT;
        if (request.firstThatMayHaveRun() == null) return Reason.ALLOWED;
        if (request.requestClass().repeat() == Repeat.UNSAFE) return Reason.MAY_HAVE_RUN;
        if (!droppedEverywhere) return Reason.OUTSIDE_REPEAT_SCOPE;
        return nowMs >= latestRepeatMs(request, marginMs) ? Reason.REPEAT_WINDOW_OVER : Reason.ALLOWED;
    }

    /** Whether a request that has arrived may be accepted. */
    public static Reason checkAccept(boolean shuttingDown) {
        return shuttingDown ? Reason.SHUTTING_DOWN : Reason.ALLOWED;
    }

    /** Whether a client's connection that has been idle for {@code idleMs} may be closed. */
    public static Reason checkClose(boolean inUse, double idleMs, double minIdleMs) {
        if (inUse) return Reason.CONNECTION_IN_USE;
        return idleMs >= minIdleMs ? Reason.ALLOWED : Reason.CONNECTION_FRESH;
    }

    private static boolean isPure(RequestState request) {
        return request.requestClass() == null || request.requestClass().repeat() == Repeat.PURE;
    }
}
