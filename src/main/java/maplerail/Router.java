package maplerail;

import java.util.List;

/**
 * The interface between a node and its decision module. The node reports events with the time at which it
 * observed them, and the module returns actions. All times are milliseconds of the node's clock, all lengths
 * are tokens. {@link Logic} is the module.
 */
public interface Router {

    /** Passes events to the module, in order, and returns the actions to perform, in order. */
    List<Action> step(double nowMs, List<? extends Event> events);

    /** What an engine does with a request. */
    enum Role { READ, WRITE, BOTH }

    /** How often a request of a class may take effect. */
    enum Repeat { PURE, KEYED, UNSAFE }

    /** Which engines drop the repeats of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** How an attempt ended, and whether that proves that it had no effect. */
    enum Outcome {
        SERVED(false), READ(true), ERROR(false), FULL(true), STATE_GONE(true), TIMEOUT(false), UNREACHABLE(true), RESET(
                false), CANCELLED(false), NOT_SENT(true);

        /** Whether the attempt is known to have had no effect. */
        public final boolean hadNoEffect;

        Outcome(boolean hadNoEffect) {
            this.hadNoEffect = hadNoEffect;
        }
    }

    /** The state of an engine in the list. */
    enum State { READY, DRAINING, GONE }

    /** What a list event holds: changes, the whole list, the last list before a restart, or a failure. */
    enum ListKind {
        CHANGES, WHOLE, REMEMBERED, FAILED
    }

    /**
     * An engine as listed.
     *
     * @param startedMs when it started, by a wall clock that may differ from the node's clock; 0 if long ago
     * @param zone its zone, or {@link #UNKNOWN_PLACE}
     * @param cell its cell, or {@link #UNKNOWN_PLACE}
     * @param kind its index in {@link Settings#kinds}
     */
    record Member(long engine, State state, double startedMs, int zone, int cell, double scale, int kind) {
        /** A zone or cell that the list does not state: such an engine shares it with no other. */
        public static final int UNKNOWN_PLACE = -1;
    }

    /** A load report; a value that is not reported is NaN. */
    record Load(double memoryShare) {}

    /** Something that happened. */
    sealed interface Event permits Members, Arrival, FirstToken, Ended, Abandoned, Timer {}

    /** A list of engines, or changes to it. */
    record Members(ListKind kind, long version, List<Member> members) implements Event {}

    /**
     * The node has accepted a request.
     *
     * @param kind its index in {@link Settings#classes}
     * @param tenant its index in {@link Settings#tenants}
     * @param session 0 for none
     * @param prefix 0 for none
     * @param hintMs expected streaming time at the class's goal for each token, 0 for no hint
     * @param retry whether the client marked the request as a retry
     */
    record Arrival(long id, int kind, int tenant, long session, double promptTokens, long prefix,
            double prefixTokens, double budgetMs, double maxOutput, double hintMs, boolean retry)
            implements Event {}

    /** A stream has started, {@code elapsedMs} after its attempt was sent. */
    record FirstToken(long id, int attempt, long engine, double elapsedMs) implements Event {}

    /**
     * An attempt has ended.
     *
     * @param elapsedMs time since it was sent
     * @param cachedTokens the part of the prompt that was cached, NaN if that was not reported
     * @param requestClosed whether the request already has its final answer
     */
    record Ended(long id, int attempt, long engine, Outcome outcome, double elapsedMs, double cachedTokens,
            boolean requestClosed, Load load) implements Event {}

    /** The client has stopped waiting for the request. */
    record Abandoned(long id) implements Event {}

    /** The time set by {@link SetTimer} has been reached. */
    record Timer(long token) implements Event {}

    /** Something that the node has to do. */
    sealed interface Action permits Send, Cancel, Release, Reclaim, Refuse, Fail, SetTimer, Subscribe, FetchList, Log {}

    /**
     * Send an attempt, which times out at {@code deadlineMs} and must not start after {@code startByMs}. The attempts
     * of a request are numbered from 0.
     */
    record Send(long id, long engine, double deadlineMs, double startByMs) implements Action {
        /** An attempt that may start at any time until it times out. */
        public Send(long id, long engine, double deadlineMs) {
            this(id, engine, deadlineMs, Double.POSITIVE_INFINITY);
        }
    }

    /** Cancel an attempt. */
    record Cancel(long id, int attempt) implements Action {}

    /** Release the states that engines hold for the request and that no attempt waits for. */
    record Release(long id) implements Action {}

    /** Release the state that a reader holds although a write is in flight, which may not have arrived. */
    record Reclaim(long id) implements Action {}

    /** Why the module ends a request that was not served. */
    enum EndReason {
        /** Its class is not in the settings. */
        UNKNOWN_CLASS,
        /** Its first token is expected too late, or it would delay work of higher priority. */
        OVERLOAD,
        /** Its client is about to stop waiting, as its deadline is close. */
        DEADLINE,
        /** It has had all attempts that the settings allow. */
        ATTEMPTS_SPENT,
        /** It may have taken effect and must not run again. */
        MAY_HAVE_RUN,
        /** No engine could be sent to until its goal for the first token had passed. */
        NO_ENGINE,
        /** Its state waited for as long as a state may be held. */
        STATE_HELD_TOO_LONG,
        /** Its read was not answered for as long as a state may be held, and no attempt is left to read again. */
        READ_UNANSWERED,
        /** The module gave no reason. */
        UNTOLD
    }

    /** End the request. The client may safely retry, after {@code retryAfterMs} if that is above 0. */
    record Refuse(long id, double retryAfterMs, EndReason reason) implements Action {
        /** A refusal without a reason. */
        public Refuse(long id, double retryAfterMs) {
            this(id, retryAfterMs, EndReason.UNTOLD);
        }
    }

    /** End the request with an error that does not promise that a retry is safe. */
    record Fail(long id, EndReason reason) implements Action {
        /** A failure without a reason. */
        public Fail(long id) {
            this(id, EndReason.UNTOLD);
        }
    }

    /** Deliver a {@link Timer} event at a time. */
    record SetTimer(long token, double atMs) implements Action {}

    /** Open the permanent subscription to the list. */
    record Subscribe() implements Action {}

    /** Request the whole list once. */
    record FetchList() implements Action {}

    /** A log line for operators. */
    record Log(String text) implements Action {}

    /**
     * A class of requests.
     *
     * @param firstTokenGoalMs goal for the time to the first token, without the prompt's part
     * @param goalMsPerPromptToken what each token of the prompt adds to that goal
     * @param tokenGoalMs goal for the time of each output token
     * @param priority priority under overload: requests of lower priority are refused first
     * @param keyTtlMs time for which engines drop the repeats of a keyed request
     */
    record RequestClass(double firstTokenGoalMs, double goalMsPerPromptToken, double deadlineMs, double tokenGoalMs,
            double priority, double lateShare, Repeat repeat, Scope scope, double keyTtlMs) {}

    /** A tenant, with the requests per second at all nodes that are within its share; 0 for no limit. */
    record Tenant(double quotaPerSecond) {}

    /** A kind of engine. */
    record Kind(Role role, double memoryTokens) {}

    /** What the deployment allows. */
    record Limits(int maxAttempts, boolean cancel, boolean secondCopies, boolean retryAfter, double maxRetryAfterMs,
            boolean writersRead) {}

    /** The parameters of the rules that the module has to follow. */
    record Rules(double answerSlackMs, double pinLimitMs, double startCapacity, double tipMultiple,
            double tipWindowMs, double warmAfterMs, double askWithinMs) {}

    /**
     * The settings with which a module starts.
     *
     * @param seed seed of all its random draws, which should differ from node to node
     * @param nodeCount number of nodes that share the engines
     * @param mustSubscribe whether the module has to subscribe to the list
     * @param overSharePriorityFactor factor on the priority of a request over its tenant's share; 1 for no effect
     */
    record Settings(long seed, int nodeCount, int zone, double tickMs, boolean mustSubscribe,
            double overSharePriorityFactor, List<RequestClass> classes, List<Tenant> tenants, List<Kind> kinds,
            Limits limits, Rules rules) {}
}
