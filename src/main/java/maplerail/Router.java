package maplerail;

import java.util.List;

/**
 * What a node and its decision module say to each other. The node reports events with the time at
 * which it saw them; the module answers with actions. All times are milliseconds of the node's clock,
 * all lengths are tokens. {@link Logic} is the module.
 */
public interface Router {

    /** Tells the module what has happened, in order, and returns what it wants done, in order. */
    List<Action> step(double nowMs, List<? extends Event> events);

    /** What an engine does with a request. */
    enum Role { READ, WRITE, BOTH }

    /** How often a request of a class may take effect. */
    enum Repeat { PURE, KEYED, UNSAFE }

    /** Which engines drop the repeats of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** How an attempt ended, and whether that proves that it never took effect. */
    enum Outcome {
        SERVED(false), READ(true), ERROR(false), FULL(true), STATE_GONE(true), TIMEOUT(false), UNREACHABLE(true), RESET(
                false), CANCELLED(false), NOT_SENT(true);

        /** True where the attempt is known to have had no effect. */
        public final boolean hadNoEffect;

        Outcome(boolean hadNoEffect) {
            this.hadNoEffect = hadNoEffect;
        }
    }

    /** What the list says of an engine. */
    enum State { READY, DRAINING, GONE }

    /** What a list event holds: changes, the whole list, the last list of an earlier life, or a failure. */
    enum ListKind {
        CHANGES, WHOLE, REMEMBERED, FAILED
    }

    /**
     * An engine as listed; {@code startedMs} is 0 if it started long ago. A zone or cell that is not told is
     * {@link #UNKNOWN_PLACE}.
     */
    record Member(long engine, State state, double startedMs, int zone, int cell, double scale, int kind) {
        /** No zone and no cell: such an engine shares neither with any other. */
        public static final int UNKNOWN_PLACE = -1;
    }

    /** A load report; a value that is not told is NaN. */
    record Load(double memoryShare) {}

    /** Something that happened. */
    sealed interface Event permits Members, Arrival, FirstToken, Ended, Abandoned, Timer {}

    /** News of which engines there are. */
    record Members(ListKind kind, long version, List<Member> members) implements Event {}

    /** The node has taken a request. {@code session} and {@code prefix} are 0 for none, {@code hintMs} for no hint. */
    record Arrival(long id, int kind, int tenant, long session, double promptTokens, long prefix,
            double prefixTokens, double budgetMs, double maxOutput, double hintMs, boolean resumed)
            implements Event {}

    /** A stream has begun. */
    record FirstToken(long id, int attempt, long engine, double spentMs) implements Event {}

    /** An attempt is over; {@code cachedTokens} is the part of the prompt that needed no reading, NaN if it is not told. */
    record Ended(long id, int attempt, long engine, Outcome outcome, double spentMs, double cachedTokens,
            boolean requestClosed,
            Load load) implements Event {}

    /** Nobody waits for the request any more. */
    record Abandoned(long id) implements Event {}

    /** The time asked for by {@link SetTimer} has come. */
    record Timer(long token) implements Event {}

    /** Something to do. */
    sealed interface Action permits Send, Cancel, Release, Reclaim, Refuse, Fail, SetTimer, Subscribe, FetchList, Log {}

    /**
     * Make an attempt, which times out at {@code deadlineMs} and must not begin after {@code startByMs}; attempts of a
     * request are numbered from 0.
     */
    record Send(long id, long engine, double deadlineMs, double startByMs) implements Action {
        /** An attempt that may begin at any time until it times out. */
        public Send(long id, long engine, double deadlineMs) {
            this(id, engine, deadlineMs, Double.POSITIVE_INFINITY);
        }
    }

    /** Call an attempt off. */
    record Cancel(long id, int attempt) implements Action {}

    /** Let go of what engines hold for the request and no attempt waits for. */
    record Release(long id) implements Action {}

    /** Let go of the state that a reader holds, though a write is out: it was not heard and may not have arrived. */
    record Reclaim(long id) implements Action {}

    /** Why the module ends a request that nobody served. */
    enum EndReason {
        /** Its class is not one of the settings'. */
        UNKNOWN_CLASS,
        /** Its first token is expected too late, or it takes the place of work worth more. */
        OVERLOAD,
        /** Its client gives up now. */
        DEADLINE,
        /** It has had all the attempts that the settings allow. */
        ATTEMPTS_SPENT,
        /** It may have taken effect and must not run again. */
        MAY_HAVE_RUN,
        /** No engine could be sent to until the aim had passed. */
        NO_ENGINE,
        /** Its state had waited for as long as a state may be held. */
        STATE_HELD_TOO_LONG,
        /** Nothing was heard of its read for as long as a state may be held, and no attempt is left to read again. */
        READ_UNANSWERED,
        /** The module did not say. */
        UNTOLD
    }

    /** End the request; the client may safely come again, after {@code retryAfterMs} if that is above 0. */
    record Refuse(long id, double retryAfterMs, EndReason reason) implements Action {
        /** A refusal whose reason is not told. */
        public Refuse(long id, double retryAfterMs) {
            this(id, retryAfterMs, EndReason.UNTOLD);
        }
    }

    /** End the request with an error that promises nothing. */
    record Fail(long id, EndReason reason) implements Action {
        /** A failure whose reason is not told. */
        public Fail(long id) {
            this(id, EndReason.UNTOLD);
        }
    }

    /** Ask for a {@link Timer} event at a time. */
    record SetTimer(long token, double atMs) implements Action {}

    /** Open the standing subscription to the list. */
    record Subscribe() implements Action {}

    /** Ask once for the whole list. */
    record FetchList() implements Action {}

    /** A line for the operators. */
    record Log(String text) implements Action {}

    /** A class of requests. */
    record RequestClass(double aimMs, double aimMsPerToken, double deadlineMs, double tokenAimMs, double priority,
            double lateShare, Repeat repeat, Scope scope, double keyTtlMs) {}

    /** A tenant and the requests a second, over all nodes, that are within its share; 0 for no limit. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of engine. */
    record Kind(Role role, double memoryTokens) {}

    /** What the deployment allows. */
    record Limits(int maxAttempts, boolean cancel, boolean secondCopies, boolean retryAfter, double maxRetryAfterMs,
            boolean writersRead) {}

    /** The figures of the rules that the module has to keep. */
    record Rules(double answerSlackMs, double pinLimitMs, double startCapacity, double tipMultiple,
            double tipWindowMs, double warmAfterMs, double askWithinMs) {}

    /**
     * What the module is told at the start of its life. All its draws come from {@code seed}, which should differ
     * from node to node. An {@code overSharePriorityFactor} of 1 makes shares idle.
     */
    record Settings(long seed, int nodeCount, int zone, double tickMs, boolean mustSubscribe,
            double overSharePriorityFactor,
            List<RequestClass> classes, List<Tenant> tenants, List<Kind> kinds, Limits limits, Rules rules) {}
}
