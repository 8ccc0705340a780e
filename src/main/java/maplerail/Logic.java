// The events, actions and settings of this module are in Router.java.
package maplerail;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import maplerail.policy.AnswerRates;
import maplerail.policy.ArrivalCounts;
import maplerail.policy.Bounds;
import maplerail.policy.CellShares;
import maplerail.policy.CircuitBreaker;
import maplerail.policy.DeficitCounters;
import maplerail.policy.EngineClock;
import maplerail.policy.PrefixTable;
import maplerail.policy.PriorAttempt;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;
import maplerail.policy.RecentMean;
import maplerail.policy.Rendezvous;
import maplerail.policy.RequestState;
import maplerail.policy.RetryBudget;
import maplerail.policy.StateLease;
import maplerail.policy.TenantShares;

/**
 * The decision module of a node: a deterministic state machine that turns events into actions. The events,
 * actions and settings are declared in {@link Router}.
 *
 * <p>The ordinary path is D2LPM (deficit-based longest prefix match). A read goes to the reader that holds
 * the longest prefix of the prompt if the client has credit there, else to the least queued reader at which
 * it has credit. When the read ends, the write goes to the writer with the lowest projected memory use. All
 * other code handles a failure or an overload, which its comment names.
 */
public final class Logic implements Router {

    // ---- Locality and deficits ----

    /** Weight of an output token in the deficit counters; a prompt token counts 1. */
    private static final double OUTPUT_TOKEN_WEIGHT = 2;
    /** Share of a request's maximum output that it is expected to use, if it carries no hint. */
    private static final double EXPECTED_OUTPUT_SHARE = 0.5;
    /** Time for which a locality entry is trusted, and in which arrival counts fade. */
    private static final double LOCALITY_TTL_MS = 20_000;
    /** An engine's entry is dropped when a read finds less than this share of the matched tokens cached. */
    private static final double MIN_CACHED_SHARE = 0.5;
    /** Fixed cost of a read, for an engine step and the messages, in tokens. */
    private static final double READ_OVERHEAD_TOKENS = 300;
    /** Share of a prompt that is assumed to be cached at the owner of its session. */
    private static final double CACHED_HISTORY_SHARE = 0.8;
    /** Owners of a prefix, as a multiple of the readers that its share of all arrivals would occupy. */
    private static final double OWNER_SPREAD_FACTOR = 2;
    /** Arrivals added to those counted, so that a node with few arrivals gives a prefix few owners. */
    private static final double OWNER_PRIOR_ARRIVALS = 8;
    /** Share of the time left to the goal that a matched reader may take before another is considered. */
    private static final double SPILL_GOAL_SHARE = 0.3;

    // ---- Choice of a writer, in shares of its memory ----

    /** Penalty for a writer in the reader's zone, but not in the cell that {@link CellShares} prefers. */
    private static final double OTHER_CELL_PENALTY = 0.04;
    /** Penalty for a writer in another zone, unless its cell is the preferred one. */
    private static final double OTHER_ZONE_PENALTY = 0.08;
    /** Penalty for a wait as long as the goal: it reveals streams that other nodes have sent there. */
    private static final double WAIT_PENALTY = 0.3;

    // ---- Samples ----

    /** Number of samples over which a recent mean extends. */
    private static final double MAX_SAMPLES = 5;
    /** Time in which the weight of earlier samples fades to 1/e. */
    private static final double SAMPLE_FADE_MS = 20_000;
    /** Samples needed to judge an engine. */
    private static final double MIN_SAMPLES = 3;
    /** Samples needed for an engine to count in the median of its peers. */
    private static final double MIN_PEER_SAMPLES = 0.3;
    /** Relative pace from which fewer than {@link #MIN_SAMPLES} samples count. */
    private static final double NOTABLE_RATIO = 1.5;
    /** Lower bound of the relative stream pace, so that a few lucky samples do not attract a herd. */
    private static final double MIN_RELATIVE_STREAM = 0.7;
    /** Growth, at each read, of the estimated pace without queues, so that the estimate can rise again. */
    private static final double UNQUEUED_PACE_GROWTH = 1.01;
    /** Minimum time in which the wait observed at one engine fades to 1/e. */
    private static final double WAIT_FADE_MS = 2_000;
    /** Time in which the wait observed at all engines of a role fades to 1/e. */
    private static final double POOLED_WAIT_FADE_MS = 8_000;
    /** Time in which answer rates fade to 1/e. */
    private static final double RATE_FADE_MS = 10_000;

    // ---- Outlier detection ----

    /** What an overdue answer counts as in the failure rate of an engine with few samples. */
    private static final double OVERDUE_FAILURE_WEIGHT = 0.6;
    /** Failure rate above which an engine can be ejected. */
    private static final double MAX_FAILURE_RATE = 0.35;
    /** Multiple of the peers' median failure rate or pace above which an engine is an outlier. */
    private static final double OUTLIER_RATIO = 2.5;
    /** Multiple of the peers' median pace above which an engine is ejected as slow. */
    private static final double SLOW_OUTLIER_RATIO = 4;
    /** Share of the shortest goal below which an engine's latency is not slow. */
    private static final double SLOW_MIN_GOAL_SHARE = 0.4;
    /** Maximum share of a role's engines that may be ejected at a time. */
    private static final double MAX_EJECTED_SHARE = 0.5;
    /** Time for which an engine that was full is passed over. */
    private static final double FULL_BACK_OFF_MS = 150;

    // ---- Overdue attempts and timers ----

    /** Multiple of the expected time after which an attempt is overdue. */
    private static final double OVERDUE_FACTOR = 3;
    /** Share of the goal before which no attempt is overdue, and after which it is checked again. */
    private static final double OVERDUE_GOAL_SHARE = 0.4;
    /** Share of the goal above which a role's pooled wait means that it is behind: it gets no copies. */
    private static final double BEHIND_GOAL_SHARE = 0.25;
    /** Time between two choices for a request that no engine can take. */
    private static final double RESELECT_INTERVAL_MS = 25;
    /** Time between two checks of a read whose answer may be lost. */
    private static final double LOST_READ_CHECK_MS = 100;
    /** Ticks by which a timer precedes the limit that it guards, in addition to the time below. */
    private static final double MARGIN_TICKS = 3;
    /** Time by which a timer precedes the limit that it guards, in addition to the ticks above. */
    private static final double MARGIN_MS = 4;
    /** Time between two attempts to subscribe to the list. */
    private static final double SUBSCRIBE_RETRY_MS = 1_000;

    // ---- Admission and slow start ----

    /** Share of the goal above which the expected time to the first token closes admission. */
    private static final double ADMISSION_GOAL_SHARE = 0.7;
    /** Share of the goal that queues alone must exceed before a request's own read counts as overload. */
    private static final double ADMISSION_QUEUE_SHARE = 0.2;
    /** Time between two log lines on why admission is closed. */
    private static final double ADMISSION_LOG_INTERVAL_MS = 500;
    /** Load offered to a cold engine, as a multiple of its capacity's share of the role. */
    private static final double COLD_LOAD_FACTOR = 1.2;
    /** Maximum load offered to a cold engine, as a share of the load that the rules allow. */
    private static final double MAX_COLD_LOAD_SHARE = 0.8;

    private enum Phase { READING, HOLDING, WRITING, STREAMING, DONE }

    /** What a timer is for. The ordinal is the low part of the timer token. */
    private enum TimerKind {
        DEADLINE, RESELECT, LEASE, OVERDUE, SUBSCRIBE, REPEAT_WINDOW, LOST_READ
    }

    /**
     * What is usual in a role, computed once for each step.
     *
     * @param pace median milliseconds for each unit of cost
     * @param latencyMs median latency
     * @param streamMsPerToken median streaming time for each expected output token
     * @param failureRate median share of failed outcomes
     * @param answersPerMs answers to this node for each engine
     * @param coldShare load offered to a cold engine for each unit of its current capacity
     */
    private record RoleStats(double pace, double latencyMs, double streamMsPerToken, double failureRate,
            double answersPerMs, double coldShare) {}

    private final class Engine {
        final long id;
        final double startedMs;
        Member member;
        Role role;
        boolean ready;
        final DeficitCounters.ReaderCounters counters = deficitCounters.newReader();
        /** Uncached tokens of this node's reads in flight. */
        double queuedTokens;
        /** This node's attempts in flight, oldest first. */
        final List<Attempt> inFlight = new ArrayList<>();
        /** Projected tokens of this node's streams. */
        double projectedTokens;
        /** Last reported share of its memory in use, NaN before the first report. */
        double reportedMemoryShare = Double.NaN;
        /** Milliseconds for each unit of cost. */
        final RecentMean pace = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
        /** Time from the send to the end of a read or to the first token, in milliseconds. */
        final RecentMean latencyMs = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
        /** Streaming time for each expected output token, in milliseconds. */
        final RecentMean streamMsPerToken = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
        /** Share of outcomes that failed. */
        final RecentMean failureRate = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
        /** Time of its last successful answer. */
        double lastSuccessMs;
        /** Until when it is passed over because it was full. */
        double fullUntilMs;
        /** Send time of the newest attempt that it answered: earlier attempts have been overtaken. */
        double newestAnsweredSentMs = Double.NEGATIVE_INFINITY;
        /** Outlier detection: an engine is ejected while this is open. */
        final CircuitBreaker breaker = new CircuitBreaker();
        /** Whether its last outcome was a failure that may have had an effect. */
        boolean failedLast;
        /** Token bucket that limits the sends while it is cold, and when that was last filled. */
        double coldBucket;
        double coldBucketFilledMs;

        Engine(long id, double startedMs) {
            this.id = id;
            this.startedMs = startedMs;
        }

        ProtocolRules.Target target() {
            return new ProtocolRules.Target(role, ready, member.zone(), member.cell());
        }
    }

    private final class Attempt {
        final Request request;
        final int number;
        final Engine engine;
        final boolean isRead;
        final double sentMs;
        /** Expected work: for a read its fixed cost, its tokens and those queued before it; 1 for a write. */
        double cost;
        double uncachedTokens;
        double matchedTokens;
        boolean ended;
        boolean cancelled;
        /** Whether its stream has started. */
        boolean streaming;
        /** Whether it was left in flight once when it was overdue. */
        boolean excused;
        boolean failed;
        /** Whether it ended without an answer and its engine had served nothing since the send. */
        boolean silent;
        boolean unreachable;
        /** Its engine as listed when it was sent. */
        final ProtocolRules.Target target;
        /** How it ended, or null while it is in flight. */
        Outcome outcome;

        /** A reader processes prompts in order: an answer to a later one means that this one's is lost. */
        boolean overtaken() {
            return engine.role == Role.READ && sentMs < engine.newestAnsweredSentMs;
        }

        Attempt(Request request, Engine engine, boolean isRead, double sentMs) {
            this.request = request;
            this.number = request.attempts.size();
            this.engine = engine;
            this.isRead = isRead;
            this.sentMs = sentMs;
            this.target = engine.target();
        }

        /**
         * When a read's answer is presumed lost. A reader processes prompts in order, so it may have held the
         * state since its last answer.
         */
        double presumedLostMs() {
            double sinceMs = overtaken() ? sentMs : Math.max(sentMs, engine.lastSuccessMs);
            return Math.max(sentMs + expectedOverdueMs(this), sinceMs + settings.rules().pinLimitMs());
        }

        PriorAttempt toPriorAttempt() {
            return new PriorAttempt(target, sentMs, outcome);
        }
    }

    private final class Request {
        final Arrival arrival;
        final RequestClass requestClass;
        /** Client of the deficit counters: the tenant, or the request class if the tenant is unknown. */
        final int client;
        /** When its first token is due by the goal of its class. */
        final double goalAtMs;
        final double deadlineMs;
        final double expectedOutputTokens;
        final long session;
        /** Uniform in [0, 1): cold engines take the requests with the lowest draws. */
        final double coldDraw = random.nextDouble();
        final List<Attempt> attempts = new ArrayList<>();
        Phase phase = Phase.READING;
        /** Readers that are assumed to hold its prefix because other nodes have sent it there. */
        List<Engine> assumedHolders = List.of();
        /** Tokens that each of those is assumed to hold. */
        double assumedTokens;
        /** Priority of its class, lowered if the request is over its tenant's share. */
        double priority;
        /** Number of attempts in flight. */
        int inFlight;
        /** The reader whose state waits to be fetched. */
        Engine holder;
        /** The reader whose state was reclaimed while a write was in flight. */
        Engine reclaimedHolder;
        /** Whether a state may be held for it. */
        boolean held;
        StateLease lease;
        double firstTokenMs;

        Request(Arrival arrival, RequestClass requestClass, int client) {
            this.arrival = arrival;
            this.requestClass = requestClass;
            this.priority = requestClass.priority();
            this.client = client;
            this.session = arrival.session() != 0 ? arrival.session() : random.nextLong();
            this.goalAtMs = nowMs + requestClass.firstTokenGoalMs()
                    + requestClass.goalMsPerPromptToken() * arrival.promptTokens();
            this.deadlineMs = nowMs + arrival.budgetMs();
            double hintedTokens = requestClass.tokenGoalMs() > 0
                    ? arrival.hintMs() / requestClass.tokenGoalMs() : 0;
            this.expectedOutputTokens = hintedTokens > 0 ? hintedTokens
                    : EXPECTED_OUTPUT_SHARE * arrival.maxOutput();
        }

        RequestState toRequestState() {
            boolean answered = phase == Phase.DONE || phase == Phase.STREAMING;
            return new RequestState(requestClass, answered, deadlineMs,
                    attempts.stream().map(Attempt::toPriorAttempt).toList());
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final EngineClock engineClock;
    private final TreeMap<Long, Engine> engines = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final PrefixTable<Engine> sessionTable = new PrefixTable<>(LOCALITY_TTL_MS);
    private final PrefixTable<Engine> prefixTable = new PrefixTable<>(LOCALITY_TTL_MS);
    /** Recent arrivals by prefix or session; key 0 counts all arrivals. */
    private final ArrivalCounts arrivalCounts = new ArrivalCounts(LOCALITY_TTL_MS);
    /** Cache for the current step. */
    private final Map<Role, RoleStats> roleStats = new TreeMap<>();
    /** Rates of ended reads and first tokens. */
    private final AnswerRates answerRates = new AnswerRates(RATE_FADE_MS);
    /** Recent waits for a first token at any writer; a full writer counts as a wait as long as the goal. */
    private final RecentMean firstTokenWaits = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
    /**
     * Recent waits of reads at any reader, beyond the time that they take at the unqueued pace; a full reader
     * counts as a wait as long as the goal.
     */
    private final RecentMean readWaits = new RecentMean(MAX_SAMPLES, SAMPLE_FADE_MS);
    /** Lowest recent pace of a read, taken as the pace without queues. */
    private double unqueuedPace = Double.POSITIVE_INFINITY;
    private final DeficitCounters deficitCounters = new DeficitCounters();
    private final RetryBudget retryBudget = new RetryBudget();
    private final TenantShares tenantShares;
    private boolean subscribePending;
    private double admissionLoggedMs = Double.NEGATIVE_INFINITY;
    private double nowMs;
    private List<Action> actions = new ArrayList<>();

    /** Creates the module of a node that has just started. */
    public Logic(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        this.engineClock = new EngineClock(settings.rules());
        this.tenantShares = new TenantShares(settings.tenants(), settings.nodeCount());
    }

    @Override
    public List<Action> step(double nowMs, List<? extends Event> events) {
        this.nowMs = nowMs;
        actions = new ArrayList<>();
        roleStats.clear();
        for (Event event : events) {
            if (event instanceof Arrival arrival) onArrival(arrival);
            if (event instanceof Ended ended) onEnded(ended);
            if (event instanceof FirstToken firstToken) onFirstToken(firstToken);
            if (event instanceof Timer timer) onTimer(timer.token());
            if (event instanceof Members members) onMembers(members);
            if (event instanceof Abandoned abandoned) close(requests.get(abandoned.id()));
        }
        return actions;
    }

    private void onMembers(Members list) {
        if (settings.mustSubscribe() && list.kind() == ListKind.REMEMBERED) actions.add(new Subscribe());
        if (list.kind() == ListKind.FAILED) {
            if (!subscribePending) setTimer(0, 0, TimerKind.SUBSCRIBE, nowMs + SUBSCRIBE_RETRY_MS);
            subscribePending = true;
            return;
        }
        engineClock.onList(list.kind(), list.members(), nowMs);
        List<Long> listed = list.members().stream().map(Member::engine).toList();
        if (list.kind() != ListKind.CHANGES) engines.keySet().retainAll(listed);
        for (Member member : list.members()) {
            Engine engine = engines.get(member.engine());
            if (member.state() == State.GONE || member.kind() >= settings.kinds().size()) {
                engines.remove(member.engine());
                engineClock.forget(member.engine());
                continue;
            }
            // A restarted process holds no state, and what was learned about the earlier one is obsolete.
            double startedMs = engineClock.startedMs(member.engine());
            if (engine == null || startedMs != engine.startedMs) {
                engine = new Engine(member.engine(), startedMs);
                // Nodes that have just started together must not all have a send ready for a new engine.
                engine.coldBucket = random.nextDouble() - (answerRates.isEmpty() ? 1 : 0);
                engine.coldBucketFilledMs = nowMs;
                engines.put(member.engine(), engine);
            }
            engine.member = member;
            engine.role = settings.kinds().get(member.kind()).role();
            engine.ready = member.state() == State.READY;
        }
    }

    private void onArrival(Arrival received) {
        Arrival arrival = Bounds.clamp(received);
        int classes = settings.classes().size();
        if (arrival.kind() >= classes) {
            actions.add(new Refuse(arrival.id(), 0, EndReason.UNKNOWN_CLASS));
            return;
        }
        boolean hasTenant = arrival.tenant() < settings.tenants().size();
        Request request = new Request(arrival, settings.classes().get(arrival.kind()),
                hasTenant ? classes + arrival.tenant() : arrival.kind());
        if (hasTenant && tenantShares.exceedsShare(arrival.tenant(), nowMs))
            request.priority *= settings.overSharePriorityFactor();
        requests.put(arrival.id(), request);
        if (answerByMs(request) <= nowMs) {
            giveUp(request, EndReason.DEADLINE);
            return;
        }
        arrivalCounts.add(0, nowMs);
        if (arrival.prefix() != 0) arrivalCounts.add(arrival.prefix(), nowMs);
        retryBudget.onArrival(arrivalCounts.count(0, nowMs));
        setTimer(arrival.id(), 0, TimerKind.DEADLINE, answerByMs(request));
        if (isOverloaded(request)) giveUp(request, EndReason.OVERLOAD);
        else sendRead(request, null);
    }

    private void onFirstToken(FirstToken firstToken) {
        Attempt attempt = attemptInFlight(firstToken.id(), firstToken.attempt());
        if (attempt == null || attempt.request.phase == Phase.STREAMING) return;
        Request request = attempt.request;
        request.holder = null;
        request.held = false;
        request.firstTokenMs = nowMs;
        attempt.streaming = true;
        if (request.phase != Phase.DONE) request.phase = Phase.STREAMING;
        observePace(attempt, firstToken.elapsedMs());
        firstTokenWaits.add(
                Math.min(Bounds.clamp(firstToken.elapsedMs()), request.requestClass.firstTokenGoalMs()),
                nowMs);
        recordSuccess(attempt.engine);
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
    }

    private void onEnded(Ended ended) {
        Attempt attempt = attemptInFlight(ended.id(), ended.attempt());
        if (attempt == null) return;
        Request request = attempt.request;
        attempt.ended = true;
        attempt.outcome = ended.outcome();
        attempt.failed = ended.outcome() != Outcome.READ && ended.outcome() != Outcome.SERVED;
        // An engine that has stopped or is cut off from this node answers nothing at all.
        attempt.silent = !StateLease.isEngineAnswer(ended.outcome())
                && attempt.engine.lastSuccessMs < attempt.sentMs;
        attempt.unreachable = ended.outcome() == Outcome.UNREACHABLE;
        request.inFlight--;
        if (request.held) request.lease.onAttemptEnded(ended.outcome(), nowMs);
        if (ended.outcome() == Outcome.READ) startLease(request);
        updateEngineLoad(attempt, ended);
        recordOutcome(attempt, ended);
        if (request.phase == Phase.DONE) cleanUp(request);
        else if (ended.outcome() == Outcome.SERVED || ended.requestClosed()) close(request);
        else if (ended.outcome() == Outcome.READ) onReadDone(request, attempt);
        else onFailure(request, attempt, ended.outcome());
    }

    private void startLease(Request request) {
        request.held = true;
        request.lease = new StateLease(settings.rules().pinLimitMs(), nowMs);
    }

    private void onTimer(long token) {
        TimerKind kind = TimerKind.values()[(int) (token & 15)];
        Request request = requests.get(token >>> 12);
        if (kind == TimerKind.SUBSCRIBE) {
            subscribePending = false;
            actions.add(new Subscribe());
        }
        if (request == null) return;
        if (kind == TimerKind.DEADLINE) giveUp(request, EndReason.DEADLINE);
        if (kind == TimerKind.RESELECT) reselect(request);
        if (kind == TimerKind.LEASE) onLeaseEnd(request, (int) (token >>> 4 & 255));
        if (kind == TimerKind.OVERDUE) onOverdue(request, (int) (token >>> 4 & 255));
        if (kind == TimerKind.LOST_READ) checkLostRead(request, (int) (token >>> 4 & 255));
        // After the repeat window, no writer is left to which the state of a read in flight may go.
        boolean reading = request.phase == Phase.READING;
        if (kind == TimerKind.REPEAT_WINDOW && reading) giveUp(request, EndReason.MAY_HAVE_RUN);
    }

    /** The attempt with that number, or null if it does not exist or has ended. */
    private Attempt attemptInFlight(long id, int number) {
        Request request = requests.get(id);
        if (request == null || number >= request.attempts.size()) return null;
        return request.attempts.get(number).ended ? null : request.attempts.get(number);
    }

    private void setTimer(long id, int attempt, TimerKind kind, double atMs) {
        actions.add(new SetTimer(id << 12 | (long) (attempt & 255) << 4 | kind.ordinal(), atMs));
    }

    // ---- Reader: D2LPM ----

    /** Sends the prompt to a reader, or tries again a little later if none can take it. */
    private void sendRead(Request request, Engine excluded) {
        request.phase = Phase.READING;
        Engine reader = chooseReader(request, excluded);
        if (reader == null) scheduleReselect(request);
        if (reader == null) return;
        double matchedTokens = matchedTokens(request, reader);
        double uncachedTokens = Math.max(0, request.arrival.promptTokens() - matchedTokens);
        reader.counters.charge(request.client, request.arrival.promptTokens());
        if (send(request, reader, true, uncachedTokens, matchedTokens)) recordLocality(request, reader);
    }

    private Engine chooseReader(Request request, Engine excluded) {
        List<Engine> eligible = eligible(request, excluded, e -> canRead(e));
        if (eligible.isEmpty()) return null;
        return spill(request, selectByD2lpm(request, eligible, longestMatch(request, eligible)), eligible);
    }

    private boolean canRead(Engine engine) {
        return engine.role != Role.WRITE || settings.limits().writersRead()
                && engines.values().stream().noneMatch(e -> e.ready && e.role != Role.WRITE);
    }

    /** SelectWorker of Algorithm 2 in the D2LPM paper. */
    private Engine selectByD2lpm(Request request, List<Engine> eligible, List<Engine> matched) {
        double largestCredit = eligible.stream().mapToDouble(e -> e.counters.credit(request.client)).max()
                .orElse(0);
        deficitCounters.replenishIfExhausted(request.client, largestCredit);
        Engine holder = leastQueued(matched, request);
        return holder != null ? holder : leastQueued(eligible, request);
    }

    /**
     * Exception to D2LPM: a matched reader that is slow, or expected to take up too much of the time to the
     * goal, is replaced by the reader that is expected to be fastest, if that takes less than half as long;
     * for a slow one, any shorter time is enough. Guards against a hot prefix, a slow holder and queues
     * of other nodes. May spread a prefix over readers that then evict other prefixes.
     */
    private Engine spill(Request request, Engine chosen, List<Engine> eligible) {
        double chosenMs = expectedReadMs(request, chosen);
        boolean slow = relativePace(chosen) >= NOTABLE_RATIO;
        if (!slow && chosenMs <= SPILL_GOAL_SHARE * (request.goalAtMs - nowMs)) return chosen;
        Engine other = min(eligible, e -> expectedReadMs(request, e), random.nextLong());
        return expectedReadMs(request, other) < (slow ? chosenMs : chosenMs / 2) ? other : chosen;
    }

    /**
     * Expected time to the end of a read at a reader: an estimate from this node's reads queued there, or the
     * age of the oldest of them if that is longer. The age reveals other nodes' queues and a silent reader.
     */
    private double expectedReadMs(Request request, Engine reader) {
        return Math.max(readMs(reader, reader.queuedTokens + neededTokens(request, reader)),
                oldestWaitMs(reader));
    }

    /** Tokens that a request needs to have read at a reader, with the fixed cost of a read. */
    private double neededTokens(Request request, Engine reader) {
        return Math.max(0, request.arrival.promptTokens() - matchedTokens(request, reader))
                + READ_OVERHEAD_TOKENS;
    }

    private double readMs(Engine reader, double tokens) {
        double pace = roleStats(reader).pace;
        return Double.isNaN(pace) ? 0 : pace * relativePace(reader) * tokens;
    }

    /**
     * The reader with credit that has the least work queued by this node, in uncached tokens weighted by its
     * observed pace; the session's hash decides between equals.
     */
    private Engine leastQueued(List<Engine> candidates, Request request) {
        return min(candidates.stream().filter(e -> e.counters.credit(request.client) > 0).toList(),
                e -> (e.queuedTokens + READ_OVERHEAD_TOKENS) * relativePace(e), request.session);
    }

    /**
     * The eligible readers that hold the longest match, as far as known or likely; if none holds any, the
     * owners of the session or prefix by rendezvous hashing.
     */
    private List<Engine> longestMatch(Request request, List<Engine> eligible) {
        // With more history than prefix, all nodes agree on the owner of the session.
        boolean mostlyHistory = request.arrival.promptTokens() > 2 * request.arrival.prefixTokens();
        boolean bySession = mostlyHistory && request.arrival.session() != 0;
        long key = bySession ? request.arrival.session() : request.arrival.prefix();
        double recent = arrivalCounts.count(key, nowMs);
        // The current arrival is excluded: it would make every prefix hot at a node with few arrivals.
        double earlier = Math.max(0, recent - 1);
        double spread = OWNER_SPREAD_FACTOR * eligible.size() * earlier;
        double ownerCount = bySession ? 1
                : Math.ceil(spread / (arrivalCounts.count(0, nowMs) + OWNER_PRIOR_ARRIVALS));
        List<Engine> owners = key == 0 ? List.of() : eligible.stream()
                .sorted(Comparator.comparingLong(e -> Rendezvous.weight(key, e.id)))
                .limit((long) Math.max(1, ownerCount)).toList();
        boolean sentByOthers = recent * (settings.nodeCount() - 1) > owners.size();
        request.assumedHolders = sentByOthers || bySession && settings.nodeCount() > 1 ? owners : List.of();
        request.assumedTokens = bySession ? CACHED_HISTORY_SHARE * request.arrival.promptTokens()
                : request.arrival.prefixTokens();
        double longest = eligible.stream().mapToDouble(e -> matchedTokens(request, e)).max().orElse(0);
        return longest > 0 ? eligible.stream().filter(e -> matchedTokens(request, e) >= longest).toList()
                : owners;
    }

    private double matchedTokens(Request request, Engine engine) {
        double sessionTokens = sessionTable.heldTokens(request.arrival.session(), engine, nowMs);
        double prefixTokens = prefixTable.heldTokens(request.arrival.prefix(), engine, nowMs);
        if (request.assumedHolders.contains(engine))
            prefixTokens = Math.max(prefixTokens, request.assumedTokens);
        return Math.min(Math.max(sessionTokens, prefixTokens), request.arrival.promptTokens());
    }

    private void recordLocality(Request request, Engine reader) {
        sessionTable.put(request.arrival.session(), reader, request.arrival.promptTokens(), nowMs);
        prefixTable.put(request.arrival.prefix(), reader, request.arrival.prefixTokens(), nowMs);
    }

    private void dropLocality(Request request, Engine engine) {
        sessionTable.drop(request.arrival.session(), engine);
        prefixTable.drop(request.arrival.prefix(), engine);
    }

    // ---- Writer: lowest projected memory, chosen when the read has ended ----

    private void onReadDone(Request request, Attempt attempt) {
        if (request.phase == Phase.WRITING || request.phase == Phase.HOLDING) return;
        request.holder = attempt.engine;
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
        sendWrite(request, null);
    }

    private void sendWrite(Request request, Engine excluded) {
        request.phase = Phase.HOLDING;
        Engine writer = chooseWriter(request, excluded);
        if (writer == null || !send(request, writer, false, 0, 0)) {
            if (request.phase == Phase.HOLDING) scheduleReselect(request);
            return;
        }
        request.phase = Phase.WRITING;
    }

    private Engine chooseWriter(Request request, Engine excluded) {
        double averageShare = engines.values().stream()
                .filter(e -> e.ready && !Double.isNaN(e.reportedMemoryShare))
                .mapToDouble(e -> e.reportedMemoryShare).average().orElse(0);
        List<Engine> eligible = eligible(request, excluded, e -> e.role != Role.READ);
        int near = eligible.isEmpty() ? 0 : nearCell(request.holder, eligible);
        return min(eligible, e -> projectedMemoryShare(e, request, averageShare)
                + distancePenalty(request.holder, e, near)
                + WAIT_PENALTY * waitMs(e) / request.requestClass.firstTokenGoalMs(), random.nextLong());
    }

    private int nearCell(Engine holder, List<Engine> eligible) {
        if (holder == null) return -1;
        List<Member> readers = peers(holder).stream().map(e -> e.member).toList();
        List<Member> writers = eligible.stream().map(e -> e.member).toList();
        return new CellShares(readers, writers).nearCell(holder.member.cell(), random);
    }

    /**
     * Share of an engine's memory that would be in use with this request: the prompts and expected outputs of
     * this node's streams and of the request, and the last report.
     */
    private double projectedMemoryShare(Engine engine, Request request, double averageShare) {
        double memoryTokens = Math.max(1, settings.kinds().get(engine.member.kind()).memoryTokens());
        double ownShare = (engine.projectedTokens + request.arrival.promptTokens()
                + request.expectedOutputTokens) / memoryTokens;
        return ownShare * relativeStreamPace(engine)
                + (Double.isNaN(engine.reportedMemoryShare) ? averageShare : engine.reportedMemoryShare);
    }

    private static double distancePenalty(Engine from, Engine to, int near) {
        if (from == null || to.member.cell() == near) return 0;
        return sameZone(from, to) ? OTHER_CELL_PENALTY : OTHER_ZONE_PENALTY;
    }

    // ---- Health: outlier detection against the peers of the role ----

    private void recordOutcome(Attempt attempt, Ended ended) {
        Engine engine = attempt.engine;
        if (!Double.isNaN(ended.load().memoryShare()))
            engine.reportedMemoryShare = ended.load().memoryShare();
        switch (ended.outcome()) {
            case READ -> {
                // What actually had to be read: other nodes' prompts decide what stays cached.
                double cachedTokens = Double.isNaN(ended.cachedTokens()) ? attempt.matchedTokens
                        : Bounds.clamp(ended.cachedTokens());
                double readTokens = Math.max(0, attempt.request.arrival.promptTokens() - cachedTokens);
                attempt.cost += readTokens - attempt.uncachedTokens;
                observePace(attempt, ended.elapsedMs());
                recordSuccess(engine);
                if (cachedTokens < MIN_CACHED_SHARE * attempt.matchedTokens) {
                    // The cache was flushed or is too small, so older entries are replaced by this read's.
                    dropLocality(attempt.request, engine);
                    recordLocality(attempt.request, engine);
                }
            }
            case SERVED -> {
                recordSuccess(engine);
                double msPerToken = (nowMs - attempt.request.firstTokenMs)
                        / attempt.request.expectedOutputTokens;
                if (attempt.request.expectedOutputTokens >= 1 && msPerToken >= 0)
                    engine.streamMsPerToken.add(msPerToken, nowMs);
            }
            case FULL -> {
                engine.fullUntilMs = nowMs + FULL_BACK_OFF_MS;
                (attempt.isRead ? readWaits : firstTokenWaits)
                        .add(attempt.request.requestClass.firstTokenGoalMs(), nowMs);
            }
            case ERROR, RESET, UNREACHABLE, TIMEOUT -> {
                recordFailure(engine, attempt);
                engine.failedLast = !ended.outcome().hadNoEffect;
            }
            default -> {}
        }
    }

    private void observePace(Attempt attempt, double elapsedMs) {
        Engine engine = attempt.engine;
        answerRates.add(engine.role, nowMs);
        if (!(elapsedMs > 0 && elapsedMs < Bounds.MAX) || !(attempt.cost > 0)) return;
        engine.newestAnsweredSentMs = Math.max(engine.newestAnsweredSentMs, attempt.sentMs);
        if (attempt.isRead) {
            unqueuedPace = Math.min(elapsedMs / attempt.cost, unqueuedPace * UNQUEUED_PACE_GROWTH);
            readWaits.add(Math.min(elapsedMs - unqueuedPace * attempt.cost,
                    attempt.request.requestClass.firstTokenGoalMs()), nowMs);
        }
        engine.pace.add(elapsedMs / attempt.cost, nowMs);
        engine.latencyMs.add(elapsedMs, nowMs);
        // An engine is ejected only if it is slow enough to endanger goals, not for a queue alone.
        double floorMs = SLOW_MIN_GOAL_SHARE
                * settings.classes().stream().mapToDouble(RequestClass::firstTokenGoalMs).min().orElse(0);
        boolean slow = engine.pace.weight(nowMs) >= MIN_SAMPLES && relativePace(engine) > SLOW_OUTLIER_RATIO;
        if (slow && engine.latencyMs.mean() > floorMs) eject(engine, "slow");
    }

    /** An engine's streaming time against its peers', running streams included; 1 if unknown. */
    private double relativeStreamPace(Engine engine) {
        double usual = roleStats(engine).streamMsPerToken;
        double running = engine.inFlight.stream()
                .filter(a -> a.streaming && a.request.expectedOutputTokens >= 1)
                .mapToDouble(a -> (nowMs - a.request.firstTokenMs) / a.request.expectedOutputTokens)
                .average().orElse(0);
        double relativeRunning = usual > 0 ? running / usual : 0;
        return Math.max(MIN_RELATIVE_STREAM,
                Math.max(relativeRunning, relative(engine.streamMsPerToken, usual)));
    }

    /** An engine's pace against the median of its peers; 1 while too little is known. */
    private double relativePace(Engine engine) {
        return relative(engine.pace, roleStats(engine).pace);
    }

    /**
     * The mean against a usual value, averaged with one sample of the usual value; 1 if the samples are few
     * and the result is not notable.
     */
    private double relative(RecentMean observed, double usual) {
        double weight = observed.weight(nowMs);
        double relative = usual > 0 ? (weight * observed.mean() / usual + 1) / (weight + 1) : 1;
        return weight < MIN_SAMPLES && relative < NOTABLE_RATIO ? 1 : relative;
    }

    private RoleStats roleStats(Engine engine) {
        return roleStats.computeIfAbsent(engine.role, role -> {
            List<Engine> peers = peers(engine);
            double share = COLD_LOAD_FACTOR * peers.size()
                    / peers.stream().mapToDouble(this::currentCapacity).sum();
            double answersPerMs = answerRates.perMs(role, nowMs) / Math.max(1, peers.size());
            return new RoleStats(median(peers, e -> e.pace), median(peers, e -> e.latencyMs),
                    median(peers, e -> e.streamMsPerToken), median(peers, e -> e.failureRate), answersPerMs,
                    Math.min(share, MAX_COLD_LOAD_SHARE * settings.rules().tipMultiple()));
        });
    }

    private double median(List<Engine> engines, Function<Engine, RecentMean> mean) {
        return RecentMean.median(engines.stream().map(mean), MIN_PEER_SAMPLES, nowMs);
    }

    /** The engines of the same role that are ready, the engine itself included. */
    private List<Engine> peers(Engine engine) {
        return engines.values().stream().filter(e -> e.ready && e.role == engine.role).toList();
    }

    private void recordSuccess(Engine engine) {
        engine.lastSuccessMs = nowMs;
        engine.failedLast = false;
        engine.failureRate.add(0, nowMs);
        engine.breaker.onSuccess(nowMs);
    }

    /** Counts a failed or an overdue attempt. */
    private void recordFailure(Engine engine, Attempt attempt) {
        // Silence is weaker evidence against an engine with few samples.
        engine.failureRate.add(attempt.ended || engine.failureRate.weight(nowMs) >= MIN_SAMPLES ? 1
                : OVERDUE_FAILURE_WEIGHT, nowMs);
        if (attempt.isRead) dropLocality(attempt.request, engine);
        double weight = engine.failureRate.weight(nowMs);
        double rate = engine.failureRate.mean() * weight / (weight + 1);
        if (rate > MAX_FAILURE_RATE && !(rate <= OUTLIER_RATIO * roleStats(engine).failureRate))
            eject(engine, "failing");
    }

    private void eject(Engine engine, String reason) {
        if (engine.breaker.isOpen(nowMs) || !engine.ready) return;
        List<Engine> peers = peers(engine);
        long ejected = peers.stream().filter(e -> e.breaker.isTripped() || e == engine).count();
        if (ejected > MAX_EJECTED_SHARE * peers.size()) return;
        engine.breaker.open(1 / roleStats(engine).answersPerMs, nowMs);
        engine.pace.setWeight(1);
        engine.failureRate.setWeight(0);
        actions.add(new Log("ejected " + Long.toHexString(engine.id) + ": " + reason));
    }

    /** Whether an engine was not full recently and its circuit breaker lets another attempt through. */
    private boolean admits(Engine engine) {
        return nowMs >= engine.fullUntilMs && engine.breaker.admits(engine.inFlight.size(), nowMs);
    }

    // ---- Guards: every send passes here ----

    /**
     * The engines of a role to which a request may be sent. Each preference below narrows the list unless
     * nothing would be left.
     */
    private List<Engine> eligible(Request request, Engine excluded, Predicate<Engine> role) {
        List<Engine> eligible = engines.values().stream().filter(repeatAllowed(request))
                .filter(e -> e.ready && role.test(e) && admitsWhileCold(request, e)).toList();
        // Whether an engine that failed last has recovered is tested with work that may be repeated.
        List<Predicate<Engine>> preferences = List.of(e -> e != excluded, this::admits,
                e -> request.attempts.stream().noneMatch(a -> a.engine == e && a.silent),
                e -> request.attempts.stream().noneMatch(a -> a.engine == e && a.failed),
                e -> request.attempts.stream()
                        .noneMatch(a -> (a.unreachable || a.silent) && sameZone(a.engine, e)),
                e -> request.requestClass.repeat() != Repeat.UNSAFE || e.role == Role.READ || !e.failedLast);
        for (Predicate<Engine> preference : preferences) {
            List<Engine> preferred = eligible.stream().filter(preference).toList();
            if (!preferred.isEmpty()) eligible = preferred;
        }
        return eligible;
    }

    private static boolean sameZone(Engine first, Engine second) {
        return first.member.zone() == second.member.zone();
    }

    /** Sends an attempt and sets its timers; if none may be made any more, ends the request. */
    private boolean send(Request request, Engine engine, boolean isRead, double uncachedTokens,
            double matchedTokens) {
        if (ProtocolRules.checkAttempt(request.toRequestState(), settings.limits()) != Reason.ALLOWED) {
            giveUp(request, EndReason.ATTEMPTS_SPENT);
            return false;
        }
        // A repeat may have to wait for a connection. It is withdrawn if its window ends before that.
        double startByMs = latestRepeatMs(request);
        if (isCold(engine)) engine.coldBucket -= 1;
        Attempt attempt = new Attempt(request, engine, isRead, nowMs);
        attempt.cost = isRead ? engine.queuedTokens + uncachedTokens + READ_OVERHEAD_TOKENS : 1;
        attempt.uncachedTokens = uncachedTokens;
        attempt.matchedTokens = matchedTokens;
        request.attempts.add(attempt);
        request.inFlight++;
        engine.inFlight.add(attempt);
        engine.queuedTokens += uncachedTokens;
        if (!isRead) engine.projectedTokens += request.arrival.promptTokens() + request.expectedOutputTokens;
        actions.add(new Send(request.arrival.id(), engine.id, request.deadlineMs, startByMs));
        setTimer(request.arrival.id(), attempt.number, TimerKind.OVERDUE, nowMs + overdueAfterMs(attempt));
        if (needsLostReadCheck(request, engine))
            setTimer(request.arrival.id(), attempt.number, TimerKind.LOST_READ, attempt.presumedLostMs());
        boolean windowEnds = startByMs < request.deadlineMs;
        if (isRead && windowEnds) setTimer(request.arrival.id(), 0, TimerKind.REPEAT_WINDOW, startByMs);
        if (!isRead && request.holder != null)
            setTimer(request.arrival.id(), attempt.number, TimerKind.LEASE, reclaimAtMs(request, engine));
        return true;
    }

    /**
     * Guards against duplicated effects: keyed work that may have run goes only to engines that drop its
     * repeats, unsafe work to none.
     */
    private Predicate<Engine> repeatAllowed(Request request) {
        if (request.attempts.isEmpty()) return engine -> true;
        RequestState state = request.toRequestState();
        return engine -> ProtocolRules.checkRepeat(state, engine.target(), marginMs(),
                nowMs) == Reason.ALLOWED;
    }

    /**
     * Whether another engine in service could be sent the work that a writer has, or may have, started.
     * Pure work may go to any engine, so none is looked for.
     */
    private boolean hasAlternativeWriter(Request request, Engine writer) {
        return request.requestClass.repeat() == Repeat.PURE || engines.values().stream()
                .filter(repeatAllowed(request)).anyMatch(e -> e != writer && e.ready && e.role != Role.READ);
    }

    /**
     * Whether a writer, and a reader if one is needed, is in service to which the request may be sent.
     * Without a limit on repeats, a request can always continue.
     */
    private boolean canContinue(Request request) {
        if (latestRepeatMs(request) == Double.POSITIVE_INFINITY) return true;
        List<Engine> allowed = engines.values().stream()
                .filter(repeatAllowed(request)).filter(e -> e.ready).toList();
        return allowed.stream().anyMatch(e -> e.role != Role.READ)
                && (request.holder != null || allowed.stream().anyMatch(this::canRead));
    }

    /** Until when an attempt may start, given the attempts that may have run. */
    private double latestRepeatMs(Request request) {
        return ProtocolRules.latestRepeatMs(request.toRequestState(), marginMs());
    }

    private boolean isCold(Engine engine) {
        return engineClock.isCold(engine.startedMs, nowMs);
    }

    /**
     * Slow start: the share of requests that may go to a cold engine follows its current capacity. It is
     * larger where most of a role was replaced, up to the limit of the rules. As the least queued engine, a
     * cold one would get all requests of a small fleet, so a token bucket filled at the rate of answers
     * limits the sends too.
     */
    private boolean admitsWhileCold(Request request, Engine engine) {
        if (!isCold(engine)) return true;
        double answersPerMs = Math.max(1.0 / (1000 * settings.nodeCount()), roleStats(engine).answersPerMs);
        double share = roleStats(engine).coldShare * currentCapacity(engine);
        engine.coldBucket = Math.min(1,
                engine.coldBucket + (nowMs - engine.coldBucketFilledMs) * answersPerMs * share);
        engine.coldBucketFilledMs = nowMs;
        return request.coldDraw < share && engine.coldBucket >= 0;
    }

    private double currentCapacity(Engine engine) {
        return engineClock.currentCapacity(engine.startedMs, nowMs);
    }

    /** Time after which an attempt is overdue. */
    private double overdueAfterMs(Attempt attempt) {
        // Doubles with every second attempt, so that a request that was moved is not moved again as soon.
        double minMs = OVERDUE_GOAL_SHARE * attempt.request.requestClass.firstTokenGoalMs();
        return Math.max(minMs, expectedOverdueMs(attempt)) * (1 << attempt.number / 2);
    }

    /** A multiple of the time that an attempt takes at its peers, or took recently at its own engine. */
    private double expectedOverdueMs(Attempt attempt) {
        double pace = roleStats(attempt.engine).pace;
        double expectedMs = Math.max(Double.isNaN(pace) ? 0 : pace * attempt.cost,
                recentWaitMs(attempt.engine));
        // Tokens that are only assumed to be cached may have to be read.
        boolean assumed = pace > 0 && attempt.request.assumedHolders.contains(attempt.engine);
        double uncachedReadMs = assumed ? pace * attempt.request.arrival.promptTokens() : 0;
        return OVERDUE_FACTOR * Math.max(expectedMs, uncachedReadMs / 2);
    }

    /**
     * Sends an attempt elsewhere that has been in flight far longer than its peers take. Guards against
     * silent engines, outliers and lost answers.
     */
    private void onOverdue(Request request, int number) {
        Attempt attempt = number < request.attempts.size() ? request.attempts.get(number) : null;
        boolean answered = request.phase == Phase.DONE || request.phase == Phase.STREAMING;
        if (answered || attempt == null || attempt.ended || attempt.cancelled
                || request.attempts.size() >= settings.limits().maxAttempts() - 1) {
            return;
        }
        boolean silent = attempt.engine.lastSuccessMs < attempt.sentMs;
        // A full writer's queue is silent too: only silence as long as a goal counts against the engine.
        boolean unresponsive = silent
                && nowMs - attempt.engine.lastSuccessMs > request.requestClass.firstTokenGoalMs();
        boolean unsafe = request.requestClass.repeat() == Repeat.UNSAFE;
        double nextCheckMs = nowMs + OVERDUE_GOAL_SHARE * request.requestClass.firstTokenGoalMs();
        // An attempt that may have run and cannot be repeated is left in flight: cancelled, it would be lost.
        if (attempt.toPriorAttempt().mayHaveRun() && !hasAlternativeWriter(request, attempt.engine)) {
            if (unresponsive) recordFailure(attempt.engine, attempt);
            else setTimer(request.arrival.id(), number, TimerKind.OVERDUE, nextCheckMs);
            return;
        }
        // Guards against retry storms: retries are limited, and where the whole role is behind, a copy adds
        // to the load. Both may change soon, so the attempt is checked again. A lost answer is not caused by
        // a lack of capacity.
        boolean lost = attempt.overtaken();
        boolean behind = pooledWaitMs(attempt.isRead ? readWaits : firstTokenWaits) > BEHIND_GOAL_SHARE
                * request.requestClass.firstTokenGoalMs();
        if (!lost && (!retryBudget.allowsRetry() || behind && isRarelyUsed(attempt.engine))) {
            setTimer(request.arrival.id(), number, TimerKind.OVERDUE, nextCheckMs);
            return;
        }
        if (!silent && !lost && !attempt.excused && relativePace(attempt.engine) < OUTLIER_RATIO) {
            // The engine answered others: a queue or a lost answer. The second time it counts as lost.
            attempt.excused = true;
            setTimer(request.arrival.id(), number, TimerKind.OVERDUE, 2 * nowMs - attempt.sentMs);
            return;
        }
        if (unresponsive) recordFailure(attempt.engine, attempt);
        retryBudget.spend();
        // Guards against a second send of unsafe work, reads included, while the first is in flight.
        if (attempt.isRead && settings.limits().secondCopies() && !unsafe) sendRead(request, attempt.engine);
        else cancel(attempt);
    }

    /** Whether a read has to be checked for a lost answer. Where copies are allowed, onOverdue sends one. */
    private boolean needsLostReadCheck(Request request, Engine engine) {
        boolean copied = settings.limits().secondCopies() && request.requestClass.repeat() != Repeat.UNSAFE;
        return engine.role == Role.READ && !copied;
    }

    /**
     * Cancels a read that may have ended with an answer that was lost, in time for a release of the state
     * that its reader would then hold. Not while reads wait everywhere, nor at a reader with few answers:
     * there, a long wait does not indicate a loss. The retry budget may be overdrawn for it.
     */
    private void checkLostRead(Request request, int number) {
        Attempt read = number < request.attempts.size() ? request.attempts.get(number) : null;
        if (request.phase != Phase.READING || read == null || read.ended || read.cancelled) return;
        double dueMs = read.presumedLostMs();
        boolean wellObserved = isWellObserved(read.engine);
        if (!wellObserved && nowMs > dueMs + settings.rules().pinLimitMs()) return;
        boolean likelyQueued = !wellObserved || isCold(read.engine)
                || nowMs - admissionLoggedMs < WAIT_FADE_MS
                || pooledWaitMs(readWaits) > BEHIND_GOAL_SHARE * request.requestClass.firstTokenGoalMs();
        if (nowMs < dueMs || likelyQueued || !retryBudget.allowsOverdraft()) {
            double delayMs = nowMs < dueMs ? Math.min(dueMs - nowMs, LOST_READ_CHECK_MS) : LOST_READ_CHECK_MS;
            setTimer(request.arrival.id(), number, TimerKind.LOST_READ, nowMs + delayMs);
            return;
        }
        retryBudget.overdraw();
        if (request.attempts.size() < settings.limits().maxAttempts() - 1) cancel(read);
        else giveUp(request, EndReason.READ_UNANSWERED);
    }

    private void cancel(Attempt attempt) {
        if (!attempt.ended && !attempt.cancelled && settings.limits().cancel()) {
            attempt.cancelled = true;
            actions.add(new Cancel(attempt.request.arrival.id(), attempt.number));
        }
    }

    private void onFailure(Request request, Attempt attempt, Outcome outcome) {
        if (request.phase == Phase.STREAMING || request.inFlight > 0) return;
        restoreReclaimedState(request, attempt, outcome);
        // The reader of a missing state has died or is cut off from the writer, perhaps from this node too.
        Engine excluded = outcome == Outcome.STATE_GONE ? request.holder : attempt.engine;
        if (outcome == Outcome.STATE_GONE) request.holder = null;
        boolean attemptsSpent = request.attempts.size() >= settings.limits().maxAttempts();
        // Work that may have run and can be neither repeated nor sent elsewhere no longer needs its state.
        if (nowMs >= latestRepeatMs(request)) giveUp(request, EndReason.MAY_HAVE_RUN);
        else if (attemptsSpent) giveUp(request, EndReason.ATTEMPTS_SPENT);
        else if (answerByMs(request) <= nowMs) giveUp(request, EndReason.DEADLINE);
        else if (!canContinue(request)) giveUp(request, EndReason.MAY_HAVE_RUN);
        else if (request.holder == null) readAgain(request, excluded);
        else if (nowMs >= leaseEndMs(request)) readAgain(request, null);
        else sendWrite(request, attempt.engine);
    }

    /**
     * A reader does not drop a reclaimed state for which a running writer still waits. If the writer ran, the
     * state is thus still held when the write ends, and its lease starts again.
     */
    private void restoreReclaimedState(Request request, Attempt write, Outcome outcome) {
        boolean writerRan = StateLease.isEngineAnswer(outcome) || write.engine.lastSuccessMs > write.sentMs;
        if (request.reclaimedHolder != null && writerRan && outcome != Outcome.STATE_GONE) {
            request.holder = request.reclaimedHolder;
            startLease(request);
        }
        request.reclaimedHolder = null;
    }

    /**
     * Releases the state and reads the prompt again: a writer could not fetch the state, though its reader
     * may still hold it, or silent writers used up its lease. The reader keeps the prompt's tokens cached.
     */
    private void readAgain(Request request, Engine excluded) {
        if (request.held) actions.add(new Release(request.arrival.id()));
        request.held = false;
        request.holder = null;
        sendRead(request, excluded);
    }

    /** No engine can be sent to now: schedules another choice, and the end of the lease on a held state. */
    private void scheduleReselect(Request request) {
        int attempts = request.attempts.size();
        if (request.held) setTimer(request.arrival.id(), attempts, TimerKind.LEASE, leaseEndMs(request));
        setTimer(request.arrival.id(), 0, TimerKind.RESELECT, nowMs + RESELECT_INTERVAL_MS);
    }

    private void reselect(Request request) {
        if (request.inFlight > 0) return;
        if (nowMs > request.goalAtMs || !canContinue(request)) giveUp(request, EndReason.NO_ENGINE);
        if (request.phase == Phase.HOLDING) sendWrite(request, null);
        if (request.phase == Phase.READING) sendRead(request, null);
    }

    /**
     * Handles the end of the lease on a state, or the earlier time at which the state is reclaimed: gives the
     * request up if it still waits for a writer, and reclaims the state from a silent write.
     */
    private void onLeaseEnd(Request request, int number) {
        boolean answered = request.phase == Phase.DONE || request.phase == Phase.STREAMING;
        if (answered || !request.held || request.holder == null) return;
        if (request.inFlight == 0) {
            if (nowMs >= leaseEndMs(request)) giveUp(request, EndReason.STATE_HELD_TOO_LONG);
            return;
        }
        Attempt write = number < request.attempts.size() ? request.attempts.get(number) : null;
        if (write == null || write.ended || write.cancelled || write.isRead) return;
        actions.add(new Reclaim(request.arrival.id()));
        request.reclaimedHolder = request.holder;
        request.holder = null;
    }

    /**
     * Until when a state is held for a silent write. A write that may be repeated may be cancelled earlier as
     * overdue, and its state then goes to another writer. For unsafe work nothing can follow, so the state is
     * reclaimed earlier.
     */
    private double reclaimAtMs(Request request, Engine writer) {
        if (request.requestClass.repeat() != Repeat.UNSAFE) return leaseEndMs(request);
        return request.lease.reclaimAtMs(nowMs, roleStats(writer).latencyMs, marginMs());
    }

    private double leaseEndMs(Request request) {
        return request.lease.expiresMs() - marginMs();
    }

    private double marginMs() {
        return MARGIN_TICKS * settings.tickMs() + MARGIN_MS;
    }

    /** The latest time at which the request can be answered before its deadline. */
    private double answerByMs(Request request) {
        return request.deadlineMs - marginMs();
    }

    // ---- Admission: load shedding by priority ----

    /**
     * Whether a request's first token is expected near the goal of its class or of a class with higher
     * priority. Guards against a lasting lack of capacity; may refuse requests needlessly during a short
     * burst.
     */
    private boolean isOverloaded(Request request) {
        Engine reader = chooseReader(request, null);
        if (reader == null) return false;
        double[] waitsMs = eligible(request, null, e -> e.role != Role.READ).stream()
                .mapToDouble(this::fadingWaitMs).sorted().toArray();
        double medianMs = waitsMs.length == 0 ? 0 : waitsMs[(waitsMs.length - 1) / 2];
        double readerMs = Math.max(readMs(reader, reader.queuedTokens), oldestWaitMs(reader));
        double allReadersMs = isRarelyUsed(reader) ? pooledWaitMs(readWaits) : 0;
        double queueMs = Math.max(readerMs, allReadersMs) + Math.max(medianMs, pooledWaitMs(firstTokenWaits));
        double limitMs = Math.min(request.goalAtMs, answerByMs(request)) - nowMs;
        // A long prompt takes long even without a queue: the time of its own read is no sign of overload.
        double expectedMs = queueMs
                + (unqueuedPace < Bounds.MAX ? unqueuedPace * neededTokens(request, reader) : 0);
        boolean overloaded = queueMs > ADMISSION_QUEUE_SHARE * limitMs
                && expectedMs > ADMISSION_GOAL_SHARE * limitMs;
        for (RequestClass other : settings.classes()) {
            if (other.priority() > request.priority) limitMs = Math.min(limitMs, other.firstTokenGoalMs());
        }
        overloaded |= queueMs > ADMISSION_GOAL_SHARE * limitMs;
        if (overloaded && nowMs - admissionLoggedMs >= ADMISSION_LOG_INTERVAL_MS) {
            admissionLoggedMs = nowMs;
            actions.add(new Log(String.format(Locale.ROOT, "admission shut: reader %x %.0f ms (oldest %.0f), "
                    + "all readers %.0f, writers' median %.0f, first tokens %.0f, of %.0f", reader.id,
                    readerMs, oldestWaitMs(reader), allReadersMs, medianMs, pooledWaitMs(firstTokenWaits),
                    limitMs)));
        }
        return overloaded;
    }

    /** Whether this node uses an engine too rarely to rely on its waits: those of its role replace them. */
    private boolean isRarelyUsed(Engine engine) {
        return roleStats(engine).answersPerMs * WAIT_FADE_MS < 1;
    }

    /** Whether an engine answers this node often enough to tell a lost answer from a queue. */
    private boolean isWellObserved(Engine engine) {
        return roleStats(engine).answersPerMs * RATE_FADE_MS >= MIN_SAMPLES;
    }

    private double pooledWaitMs(RecentMean waits) {
        return waits.decayed(POOLED_WAIT_FADE_MS, nowMs);
    }

    /** The wait to expect at an engine: its recent latency, or the age of the oldest attempt there. */
    private double waitMs(Engine engine) {
        return Math.max(oldestWaitMs(engine), recentWaitMs(engine));
    }

    /** An engine's recent latency alone: the age of a silent engine's attempt must not excuse its silence. */
    private double recentWaitMs(Engine engine) {
        double usualMs = roleStats(engine).latencyMs > 0 ? roleStats(engine).latencyMs : 0;
        // Remembered for longer than the gap between two samples, however many engines share the work.
        double fadeMs = Math.max(WAIT_FADE_MS, Math.min(SAMPLE_FADE_MS, 1 / roleStats(engine).answersPerMs));
        double excessMs = usualMs * (relative(engine.latencyMs, usualMs) - 1);
        return usualMs + excessMs * Math.exp((engine.lastSuccessMs - nowMs) / fadeMs);
    }

    /**
     * An engine's wait, faded since its last success. Guards against admission that stays closed after an
     * overload: once closed, it would get no new samples.
     */
    private double fadingWaitMs(Engine engine) {
        return Math.max(oldestWaitMs(engine),
                waitMs(engine) * Math.exp((engine.lastSuccessMs - nowMs) / POOLED_WAIT_FADE_MS));
    }

    /**
     * Age of the oldest attempt that waits at an engine. Overtaken attempts are excluded: a lost answer would
     * look like a queue and close admission until the deadline.
     */
    private double oldestWaitMs(Engine engine) {
        return engine.inFlight.stream().filter(a -> !a.streaming && !a.cancelled && !a.overtaken())
                .findFirst().map(a -> nowMs - a.sentMs).orElse(0.0);
    }

    /** Ends a request at once, unserved: a refusal if a retry is harmless, else a failure. */
    private void giveUp(Request request, EndReason reason) {
        if (request.phase == Phase.DONE || request.phase == Phase.STREAMING) return;
        boolean harmless = ProtocolRules.checkRefusal(request.toRequestState(), marginMs(),
                nowMs) == Reason.ALLOWED;
        double windowLeftMs = latestRepeatMs(request) - nowMs;
        // A repeat is harmless only inside its window: the client must be able to retry before that ends.
        double maxRetryAfterMs = Math.min(settings.limits().maxRetryAfterMs(), windowLeftMs / 2);
        // By then the waits have faded.
        double retryAfterMs = settings.limits().retryAfter() ? Math.min(maxRetryAfterMs, WAIT_FADE_MS) : 0;
        long id = request.arrival.id();
        actions.add(harmless ? new Refuse(id, retryAfterMs, reason) : new Fail(id, reason));
        request.attempts.forEach(this::cancel);
        close(request);
    }

    private void close(Request request) {
        if (request != null && request.phase != Phase.DONE) {
            request.phase = Phase.DONE;
            cleanUp(request);
        }
    }

    /** A release skips states for which an attempt still waits, so it is repeated when that attempt ends. */
    private void cleanUp(Request request) {
        if (request.held) actions.add(new Release(request.arrival.id()));
        if (request.inFlight == 0) requests.remove(request.arrival.id());
    }

    /** Takes an ended attempt off its engine's load; charges the output if it was served. */
    private void updateEngineLoad(Attempt attempt, Ended ended) {
        Request request = attempt.request;
        Engine engine = attempt.engine;
        engine.inFlight.remove(attempt);
        engine.queuedTokens = Math.max(0, engine.queuedTokens - attempt.uncachedTokens);
        double tokens = attempt.isRead ? 0 : request.arrival.promptTokens() + request.expectedOutputTokens;
        engine.projectedTokens = Math.max(0, engine.projectedTokens - tokens);
        if (ended.outcome() != Outcome.SERVED) return;
        double outputTokens = OUTPUT_TOKEN_WEIGHT * request.expectedOutputTokens;
        request.attempts.stream().filter(a -> a.isRead).reduce((a, b) -> b)
                .ifPresent(a -> a.engine.counters.charge(request.client, outputTokens));
    }

    /** Number of entries in all tables, for tests that check that they stay bounded. */
    int tableEntries() {
        return requests.size() + sessionTable.size() + prefixTable.size() + arrivalCounts.size()
                + engines.size();
    }

    /**
     * The engine with the lowest value, or null if there is none. The key's rendezvous hash decides between
     * equals, so that nodes do not all choose the same engine.
     */
    private static Engine min(Collection<Engine> candidates, ToDoubleFunction<Engine> value, long key) {
        return Rendezvous.min(candidates, value, engine -> engine.id, key);
    }
}
