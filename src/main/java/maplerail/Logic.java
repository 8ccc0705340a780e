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
 * Every decision of a node. Its events, actions and settings are in {@link Router}.
 *
 * <p>The ordinary path is D2LPM: the reader that holds the longest prefix, while the client has credit
 * there, else the least queued reader with credit; when the read ends, the writer of lowest projected
 * memory. All else here answers something that went wrong and says what.
 */
public final class Logic implements Router {

    private static final double OUTPUT_WEIGHT = 2, OUTPUT_SHARE = 0.5; // in the deficit; of the maximum
    private static final double ENTRY_AGE = 20_000; // ms that a locality entry is believed (design)
    private static final double KEPT_SHARE = 0.5; // an entry drops when an answer finds less kept (design)
    private static final double READ_OVERHEAD = 300; // tokens; a read's fixed cost: a step, messages
    private static final double HISTORY = 0.8; // of a prompt, held to be kept at its session's home
    private static final double HOME_SPREAD = 2, HOME_PRIOR = 8; // homes a reader's worth; arrivals assumed
    private static final double FAR_CELL = 0.04, FAR_ZONE = 0.08; // share of memory that a move out counts as
    private static final double WAIT_SHARE = 0.3; // of memory, for a wait as long as the aim: streams unseen
    private static final double SAMPLES = 5, MEMORY_MS = 20_000; // a recent mean goes back so many, so long
    private static final double SILENCE = 0.6; // of a failure, for an answer that is overdue
    private static final double FAIL_LIMIT = 0.35; // failure rate of an outlier
    private static final double OUTLIER = 2.5, SLOW_OUTLIER = 4; // times the peers' median failures, pace
    private static final double MIN_RELATIVE = 0.7; // least relative speed, so that luck draws no herd
    private static final double SLOW_AT = 0.4; // share of the shortest aim from which being slow counts
    private static final double SPILL = 0.3; // share of the time to the aim that a matched reader may take
    private static final double ENOUGH = 3, SOME = 0.3; // samples to judge an engine; to count among peers
    private static final double REMARKABLE = 1.5; // relative pace that counts with fewer samples
    private static final double EJECT_SHARE = 0.5; // most of a role that may be ejected
    private static final double FULL_MS = 150; // for which an engine that was full is passed over
    private static final double OVERDUE = 3, OVERDUE_SHARE = 0.4; // times the expected; least share of an aim
    private static final double BEHIND = 0.25; // of an aim, for the waits of a role: then no copies
    private static final double CALM_DRIFT = 1.01; // growth, each read, of the pace held to be free of queues
    private static final double WAIT_MS = 2_000, POOL_MS = 8_000; // in which a wait of one, of all, fades
    private static final double ADMIT = 0.7, QUEUED = 0.2; // of an aim, for a first token; for queues alone
    private static final double RESELECT_MS = 25; // between two choices for a request that no engine can take
    private static final double DOUBT_AGAIN_MS = 100; // between two looks at a read that is waited for on
    private static final double MARGIN_TICKS = 3, MARGIN_MS = 4; // that a timer is set before its limit
    private static final double COLD_LOAD = 1.2, COLD_MOST = 0.8, RATE_MS = 10_000; // of a share; of the most
    private static final double SHUT_LOG_MS = 500; // between two lines on why admission is shut
    private static final double ASK_AGAIN_MS = 1_000; // between two attempts at a subscription to the list

    private enum Phase { READING, HOLDING, WRITING, STREAMING, DONE }

    /** What a timer is for; its place is the low part of the token. */
    private enum TimerKind {
        DEADLINE, RESELECT, LEASE, OVERDUE, ASK, WINDOW, DOUBT
    }

    /** What is usual in a role, for one step: medians, our answers by engine, and a cold one's part. */
    private record RoleStats(double pace, double waitMs, double stream, double failures, double fairRate,
            double coldShare) {}

    private final class Engine {
        final long id;
        final double startedMs;
        Member member;
        Role role;
        boolean ready;
        final DeficitCounters.OfReader counters = deficits.newReader();
        /** Own reads out, in uncached tokens, and attempts out, oldest first. */
        double queued;
        final List<Attempt> out = new ArrayList<>();
        /** Own streams' projected tokens, and the last reported share of memory (NaN: unheard). */
        double projected;
        double reported = Double.NaN;
        /** Milliseconds for each unit of cost, in all, and of streaming for each token of the stand-in. */
        final RecentMean pace = new RecentMean(SAMPLES, MEMORY_MS);
        final RecentMean typicalMs = new RecentMean(SAMPLES, MEMORY_MS);
        final RecentMean stream = new RecentMean(SAMPLES, MEMORY_MS);
        /** Share of outcomes that failed. */
        final RecentMean failures = new RecentMean(SAMPLES, MEMORY_MS);
        double heardMs, fullUntil;
        /** When the last of those that were answered was sent: what was sent before has been overtaken. */
        double answeredSentMs = Double.NEGATIVE_INFINITY;
        /** Outlier detection: an engine is ejected while this is open. */
        final CircuitBreaker breaker = new CircuitBreaker();
        boolean failedLast;
        /** The bucket of sends while cold. */
        double coldBucket, coldAt;

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
        final boolean read;
        final double sentMs;
        double cost, uncached, matched;
        boolean ended, cancelled, begun, excused, failed, silent, unreachable;
        /** Its engine as listed when it was sent, and how it ended. */
        final ProtocolRules.Target target;
        Outcome outcome;

        /** A reader takes prompts in turn: an answer to a later one says that this one's is lost. */
        boolean overtaken() {
            return engine.role == Role.READ && sentMs < engine.answeredSentMs;
        }

        Attempt(Request request, Engine engine, boolean read, double sentMs) {
            this.request = request;
            this.number = request.attempts.size();
            this.engine = engine;
            this.read = read;
            this.sentMs = sentMs;
            this.target = engine.target();
        }

        /** When a read is no longer waited for: its reader, in turn, may hold a state since last heard. */
        double doubtedMs() {
            double sinceMs = overtaken() ? sentMs : Math.max(sentMs, engine.heardMs);
            return Math.max(sentMs + expectedPatience(this), sinceMs + settings.rules().pinLimitMs());
        }

        /** As the rules see it. */
        PriorAttempt prior() {
            return new PriorAttempt(target, sentMs, outcome);
        }
    }

    private final class Request {
        final Arrival asked;
        final RequestClass kind;
        final int client;
        final double aimMs, deadlineMs, expectedOutput;
        final long session;
        /** Uniform in [0, 1): cold engines take the requests with the lowest ones. */
        final double draw = random.nextDouble();
        final List<Attempt> attempts = new ArrayList<>();
        Phase phase = Phase.READING;
        /** Readers held to have its beginning from other nodes. */
        List<Engine> homes = List.of();
        double assumed;
        /** Worth for each unit of work, lowered where it is over its tenant's share. */
        double worth;
        int out;
        /** The reader whose state waits, and one whose state was reclaimed from a write that is out. */
        Engine holder, doubted;
        /** Whether any may be held, and for how long it may be. */
        boolean held;
        StateLease lease;
        double firstMs;

        Request(Arrival asked, RequestClass kind, int client) {
            this.asked = asked;
            this.kind = kind;
            this.worth = kind.priority();
            this.client = client;
            this.session = asked.session() != 0 ? asked.session() : random.nextLong();
            this.aimMs = now + kind.aimMs() + kind.aimMsPerToken() * asked.promptTokens();
            this.deadlineMs = now + asked.budgetMs();
            double hinted = kind.tokenAimMs() > 0 ? asked.hintMs() / kind.tokenAimMs() : 0;
            this.expectedOutput = hinted > 0 ? hinted : OUTPUT_SHARE * asked.maxOutput();
        }

        RequestState state() {
            boolean over = phase == Phase.DONE || phase == Phase.STREAMING;
            return new RequestState(kind, over, deadlineMs, attempts.stream().map(Attempt::prior).toList());
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final EngineClock engineClock;
    private final TreeMap<Long, Engine> engines = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final PrefixTable<Engine> sessions = new PrefixTable<>(ENTRY_AGE);
    private final PrefixTable<Engine> prefixes = new PrefixTable<>(ENTRY_AGE);
    /** Arrivals of late with each beginning; key 0 stands for all. */
    private final ArrivalCounts arrivals = new ArrivalCounts(ENTRY_AGE);
    private final Map<Role, RoleStats> usual = new TreeMap<>();
    /** Reads that ended well and first tokens. */
    private final AnswerRates answers = new AnswerRates(RATE_MS);
    /** Waits for a first token lately, wherever; one as long as the aim for a writer that was full. */
    private final RecentMean firstTokens = new RecentMean(SAMPLES, MEMORY_MS);
    /** The same for reads, beyond what they take at the calm pace: the least lately seen. */
    private final RecentMean reads = new RecentMean(SAMPLES, MEMORY_MS);
    private double calmPace = Double.POSITIVE_INFINITY;
    private final DeficitCounters deficits = new DeficitCounters();
    private final RetryBudget retries = new RetryBudget();
    private final TenantShares shares;
    private boolean askPending;
    private double shutToldMs = Double.NEGATIVE_INFINITY;
    private double now;
    private List<Action> actions = new ArrayList<>();

    /** Makes the module of a node that has just come up. */
    public Logic(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        this.engineClock = new EngineClock(settings.rules());
        this.shares = new TenantShares(settings.tenants(), settings.nodeCount());
    }

    @Override
    public List<Action> step(double nowMs, List<? extends Event> events) {
        now = nowMs;
        actions = new ArrayList<>();
        usual.clear();
        for (Event event : events) {
            if (event instanceof Arrival arrival) onArrival(arrival);
            if (event instanceof Ended ended) onEnded(ended);
            if (event instanceof FirstToken first) onFirstToken(first);
            if (event instanceof Timer timer) onTimer(timer.token());
            if (event instanceof Members members) onMembers(members);
            if (event instanceof Abandoned gone) close(requests.get(gone.id()));
        }
        return actions;
    }

    private void onMembers(Members news) {
        if (settings.mustSubscribe() && news.kind() == ListKind.REMEMBERED) actions.add(new Subscribe());
        if (news.kind() == ListKind.FAILED) {
            if (!askPending) setTimer(0, 0, TimerKind.ASK, now + ASK_AGAIN_MS);
            askPending = true;
            return;
        }
        engineClock.hear(news.kind(), news.members(), now);
        List<Long> named = news.members().stream().map(Member::engine).toList();
        if (news.kind() != ListKind.CHANGES) engines.keySet().retainAll(named);
        for (Member member : news.members()) {
            Engine known = engines.get(member.engine());
            if (member.state() == State.GONE || member.kind() >= settings.kinds().size()) {
                engines.remove(member.engine());
                engineClock.forget(member.engine());
                continue;
            }
            // A process that started anew holds nothing, and what was learned of it is of no use.
            double startedMs = engineClock.startedMs(member.engine());
            if (known == null || startedMs != known.startedMs) {
                known = new Engine(member.engine(), startedMs);
                // Nodes that have just come up together must not all hold a send for a newcomer.
                known.coldBucket = random.nextDouble() - (answers.isEmpty() ? 1 : 0);
                known.coldAt = now;
                engines.put(member.engine(), known);
            }
            known.member = member;
            known.role = settings.kinds().get(member.kind()).role();
            known.ready = member.state() == State.READY;
        }
    }

    private void onArrival(Arrival told) {
        Arrival arrival = Bounds.clamp(told);
        int classes = settings.classes().size();
        if (arrival.kind() >= classes) {
            actions.add(new Refuse(arrival.id(), 0, EndReason.UNKNOWN_CLASS));
            return;
        }
        boolean tenant = arrival.tenant() < settings.tenants().size();
        Request request = new Request(arrival, settings.classes().get(arrival.kind()),
                tenant ? classes + arrival.tenant() : arrival.kind());
        if (tenant && shares.isOver(arrival.tenant(), now)) request.worth *= settings.overSharePriorityFactor();
        requests.put(arrival.id(), request);
        if (lastMoment(request) <= now) {
            giveUp(request, EndReason.DEADLINE);
            return;
        }
        arrivals.add(0, now);
        if (arrival.prefix() != 0) arrivals.add(arrival.prefix(), now);
        retries.onArrival(arrivals.of(0, now));
        setTimer(arrival.id(), 0, TimerKind.DEADLINE, lastMoment(request));
        if (overloaded(request)) giveUp(request, EndReason.OVERLOAD);
        else read(request, null);
    }

    private void onFirstToken(FirstToken first) {
        Attempt attempt = attemptOf(first.id(), first.attempt());
        if (attempt == null || attempt.request.phase == Phase.STREAMING) return;
        Request request = attempt.request;
        request.holder = null;
        request.held = false;
        request.firstMs = now;
        attempt.begun = true;
        if (request.phase != Phase.DONE) request.phase = Phase.STREAMING;
        observePace(attempt, first.spentMs());
        firstTokens.add(Math.min(Bounds.clamp(first.spentMs()), request.kind.aimMs()), now);
        good(attempt.engine);
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
    }

    private void onEnded(Ended ended) {
        Attempt attempt = attemptOf(ended.id(), ended.attempt());
        if (attempt == null) return;
        Request request = attempt.request;
        attempt.ended = true;
        attempt.outcome = ended.outcome();
        attempt.failed = ended.outcome() != Outcome.READ && ended.outcome() != Outcome.SERVED;
        // Silent towards us altogether, as an engine that has stopped or is cut off is.
        attempt.silent = !StateLease.isAnswer(ended.outcome()) && attempt.engine.heardMs < attempt.sentMs;
        attempt.unreachable = ended.outcome() == Outcome.UNREACHABLE;
        request.out--;
        if (request.held) request.lease.onAttemptEnded(ended.outcome(), now);
        if (ended.outcome() == Outcome.READ) hold(request);
        account(attempt, ended);
        recordOutcome(attempt, ended);
        if (request.phase == Phase.DONE) cleanUp(request);
        else if (ended.outcome() == Outcome.SERVED || ended.requestClosed()) close(request);
        else if (ended.outcome() == Outcome.READ) onRead(request, attempt);
        else onFailure(request, attempt, ended.outcome());
    }

    private void hold(Request request) {
        request.held = true;
        request.lease = new StateLease(settings.rules().pinLimitMs(), now);
    }

    private void onTimer(long token) {
        TimerKind alarm = TimerKind.values()[(int) (token & 15)];
        Request request = requests.get(token >>> 12);
        if (alarm == TimerKind.ASK) {
            askPending = false;
            actions.add(new Subscribe());
        }
        if (request == null) return;
        if (alarm == TimerKind.DEADLINE) giveUp(request, EndReason.DEADLINE);
        if (alarm == TimerKind.RESELECT) reselect(request);
        if (alarm == TimerKind.LEASE) leaseEnds(request, (int) (token >>> 4 & 255));
        if (alarm == TimerKind.OVERDUE) overdue(request, (int) (token >>> 4 & 255));
        if (alarm == TimerKind.DOUBT) doubtRead(request, (int) (token >>> 4 & 255));
        // A read that is out then has no writer any more to which its state may go.
        boolean reading = request.phase == Phase.READING;
        if (alarm == TimerKind.WINDOW && reading) giveUp(request, EndReason.MAY_HAVE_RUN);
    }

    private Attempt attemptOf(long id, int number) {
        Request request = requests.get(id);
        if (request == null || number >= request.attempts.size()) return null;
        return request.attempts.get(number).ended ? null : request.attempts.get(number);
    }

    private void setTimer(long id, int attempt, TimerKind alarm, double at) {
        actions.add(new SetTimer(id << 12 | (long) (attempt & 255) << 4 | alarm.ordinal(), at));
    }

    // ---- Reader: D2LPM ----

    /** Sends the prompt to a reader, or looks again a little later if none can take it. */
    private void read(Request request, Engine not) {
        request.phase = Phase.READING;
        Engine reader = chooseReader(request, not);
        if (reader == null) wait(request);
        if (reader == null) return;
        double matched = matchedTokens(request, reader);
        double uncached = Math.max(0, request.asked.promptTokens() - matched);
        reader.counters.charge(request.client, request.asked.promptTokens());
        if (send(request, reader, true, uncached, matched)) learn(request, reader);
    }

    private Engine chooseReader(Request request, Engine not) {
        List<Engine> able = able(request, not, e -> reads(e));
        if (able.isEmpty()) return null;
        return spill(request, d2lpm(request, able, longestMatch(request, able)), able);
    }

    private boolean reads(Engine engine) {
        return engine.role != Role.WRITE || settings.limits().writersRead()
                && engines.values().stream().noneMatch(e -> e.ready && e.role != Role.WRITE);
    }

    /** SelectWorker of the paper's Algorithm 2. */
    private Engine d2lpm(Request request, List<Engine> able, List<Engine> matched) {
        double most = able.stream().mapToDouble(e -> e.counters.credit(request.client)).max().orElse(0);
        deficits.growIfSpent(request.client, most);
        Engine held = leastQueued(matched, request);
        return held != null ? held : leastQueued(able, request);
    }

    /**
     * Exception to D2LPM: a matched reader that is expected to use up the aim gives way to the least queued
     * one if that is expected to take under half as long. Guards against a hot beginning, a slow holder and
     * queues of other nodes; could harm by spreading a beginning over readers that then evict others.
     */
    private Engine spill(Request request, Engine chosen, List<Engine> able) {
        double here = expectedMs(request, chosen);
        boolean slow = relativePace(chosen) >= REMARKABLE;
        if (!slow && here <= SPILL * (request.aimMs - now)) return chosen;
        Engine other = least(able, e -> expectedMs(request, e), random.nextLong());
        return expectedMs(request, other) < (slow ? here : here / 2) ? other : chosen;
    }

    /** By own reads, or by what the oldest of them has waited: it shows all nodes' queue, and silence. */
    private double expectedMs(Request request, Engine reader) {
        return Math.max(readMs(reader, reader.queued + needed(request, reader)), oldestMs(reader));
    }

    /** What a request has to have read at a reader, with the fixed cost of a read. */
    private double needed(Request request, Engine reader) {
        return Math.max(0, request.asked.promptTokens() - matchedTokens(request, reader)) + READ_OVERHEAD;
    }

    private double readMs(Engine reader, double tokens) {
        double pace = usual(reader).pace;
        return Double.isNaN(pace) ? 0 : pace * relativePace(reader) * tokens;
    }

    /** By own reads queued, in uncached tokens, by the speed seen; equals by the session's hash. */
    private Engine leastQueued(List<Engine> among, Request request) {
        return least(among.stream().filter(e -> e.counters.credit(request.client) > 0).toList(),
                e -> (e.queued + READ_OVERHEAD) * relativePace(e), request.session);
    }

    /** The able readers that hold the longest match, as far as known or likely; else the key's homes. */
    private List<Engine> longestMatch(Request request, List<Engine> able) {
        // With more history than beginning the session's home is what all nodes agree on.
        boolean most = request.asked.promptTokens() > 2 * request.asked.prefixTokens();
        boolean history = most && request.asked.session() != 0;
        long key = history ? request.asked.session() : request.asked.prefix();
        double seen = arrivals.of(key, now);
        // Without the present arrival, which would make every beginning hot at a node that sees little.
        double before = Math.max(0, seen - 1);
        double spread = HOME_SPREAD * able.size() * before;
        double count = history ? 1 : Math.ceil(spread / (arrivals.of(0, now) + HOME_PRIOR));
        List<Engine> homes = key == 0 ? List.of() : able.stream()
                .sorted(Comparator.comparingLong(e -> Rendezvous.weight(key, e.id)))
                .limit((long) Math.max(1, count)).toList();
        boolean sentByOthers = seen * (settings.nodeCount() - 1) > homes.size();
        request.homes = sentByOthers || history && settings.nodeCount() > 1 ? homes : List.of();
        request.assumed = history ? HISTORY * request.asked.promptTokens() : request.asked.prefixTokens();
        double longest = able.stream().mapToDouble(e -> matchedTokens(request, e)).max().orElse(0);
        return longest > 0 ? able.stream().filter(e -> matchedTokens(request, e) >= longest).toList() : homes;
    }

    private double matchedTokens(Request request, Engine engine) {
        double session = sessions.heldTokens(request.asked.session(), engine, now);
        double prefix = prefixes.heldTokens(request.asked.prefix(), engine, now);
        if (request.homes.contains(engine)) prefix = Math.max(prefix, request.assumed);
        return Math.min(Math.max(session, prefix), request.asked.promptTokens());
    }

    private void learn(Request request, Engine reader) {
        sessions.put(request.asked.session(), reader, request.asked.promptTokens(), now);
        prefixes.put(request.asked.prefix(), reader, request.asked.prefixTokens(), now);
    }

    private void drop(Request request, Engine engine) {
        sessions.drop(request.asked.session(), engine);
        prefixes.drop(request.asked.prefix(), engine);
    }

    // ---- Writer: lowest projected memory, chosen when the read has ended ----

    private void onRead(Request request, Attempt attempt) {
        if (request.phase == Phase.WRITING || request.phase == Phase.HOLDING) return;
        request.holder = attempt.engine;
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
        write(request, null);
    }

    private void write(Request request, Engine not) {
        request.phase = Phase.HOLDING;
        Engine writer = chooseWriter(request, not);
        if (writer == null || !send(request, writer, false, 0, 0)) {
            if (request.phase == Phase.HOLDING) wait(request);
            return;
        }
        request.phase = Phase.WRITING;
    }

    private Engine chooseWriter(Request request, Engine not) {
        double average = engines.values().stream().filter(e -> e.ready && !Double.isNaN(e.reported))
                .mapToDouble(e -> e.reported).average().orElse(0);
        List<Engine> able = able(request, not, e -> e.role != Role.READ);
        int near = able.isEmpty() ? 0 : nearCell(request.holder, able);
        return least(able, e -> projectedShare(e, request, average) + distance(request.holder, e, near)
                + WAIT_SHARE * waitMs(e) / request.kind.aimMs(), random.nextLong());
    }

    private int nearCell(Engine holder, List<Engine> able) {
        if (holder == null) return -1;
        List<Member> readers = peers(holder).stream().map(e -> e.member).toList();
        List<Member> writers = able.stream().map(e -> e.member).toList();
        return new CellShares(readers, writers).nearCell(holder.member.cell(), random);
    }

    /** Own streams, each as its prompt and the stand-in for its output, this one, and the last report. */
    private double projectedShare(Engine engine, Request request, double average) {
        double memory = Math.max(1, settings.kinds().get(engine.member.kind()).memoryTokens());
        double own = (engine.projected + request.asked.promptTokens() + request.expectedOutput) / memory;
        return own * relativeStream(engine) + (Double.isNaN(engine.reported) ? average : engine.reported);
    }

    private static double distance(Engine from, Engine to, int near) {
        if (from == null || to.member.cell() == near) return 0;
        return sameZone(from, to) ? FAR_CELL : FAR_ZONE;
    }

    // ---- Health: outlier detection against peers of the role ----

    private void recordOutcome(Attempt attempt, Ended ended) {
        Engine engine = attempt.engine;
        if (!Double.isNaN(ended.load().memoryShare())) engine.reported = ended.load().memoryShare();
        switch (ended.outcome()) {
            case READ -> {
                // What was really read: other nodes' prompts decide what is kept.
                double kept = Double.isNaN(ended.cachedTokens()) ? attempt.matched : Bounds.clamp(ended.cachedTokens());
                double read = Math.max(0, attempt.request.asked.promptTokens() - kept);
                attempt.cost += read - attempt.uncached;
                observePace(attempt, ended.spentMs());
                good(engine);
                if (kept < KEPT_SHARE * attempt.matched) {
                    // A cache that was flushed or is too small: what else we think is there is doubtful too.
                    drop(attempt.request, engine);
                    learn(attempt.request, engine);
                }
            }
            case SERVED -> {
                good(engine);
                double seen = (now - attempt.request.firstMs) / attempt.request.expectedOutput;
                if (attempt.request.expectedOutput >= 1 && seen >= 0) engine.stream.add(seen, now);
            }
            case FULL -> {
                engine.fullUntil = now + FULL_MS;
                (attempt.read ? reads : firstTokens).add(attempt.request.kind.aimMs(), now);
            }
            case ERROR, RESET, UNREACHABLE, TIMEOUT -> {
                bad(engine, attempt);
                engine.failedLast = !ended.outcome().hadNoEffect;
            }
            default -> {}
        }
    }

    private void observePace(Attempt attempt, double spentMs) {
        Engine engine = attempt.engine;
        answers.add(engine.role, now);
        if (!(spentMs > 0 && spentMs < Bounds.MOST) || !(attempt.cost > 0)) return;
        engine.answeredSentMs = Math.max(engine.answeredSentMs, attempt.sentMs);
        if (attempt.read) {
            calmPace = Math.min(spentMs / attempt.cost, calmPace * CALM_DRIFT);
            reads.add(Math.min(spentMs - calmPace * attempt.cost, attempt.request.kind.aimMs()), now);
        }
        engine.pace.add(spentMs / attempt.cost, now);
        engine.typicalMs.add(spentMs, now);
        // So slow that aims are at stake: a queue alone does not eject.
        double floor = SLOW_AT * settings.classes().stream().mapToDouble(RequestClass::aimMs).min().orElse(0);
        boolean slow = engine.pace.weight(now) >= ENOUGH && relativePace(engine) > SLOW_OUTLIER;
        if (slow && engine.typicalMs.mean() > floor) eject(engine, "slow");
    }

    /** How slowly an engine streams against its peers, running streams counted; 1 if unknown. */
    private double relativeStream(Engine engine) {
        double usual = usual(engine).stream;
        double running = engine.out.stream().filter(a -> a.begun && a.request.expectedOutput >= 1)
                .mapToDouble(a -> (now - a.request.firstMs) / a.request.expectedOutput).average().orElse(0);
        double begun = usual > 0 ? running / usual : 0;
        return Math.max(MIN_RELATIVE, Math.max(begun, relative(engine.stream, usual)));
    }

    /** An engine's pace against the median of its peers; 1 while too little is known. */
    private double relativePace(Engine engine) {
        return relative(engine.pace, usual(engine).pace);
    }

    /** Few samples count against one usual one, and not at all while they are unremarkable. */
    private double relative(RecentMean seen, double usual) {
        double weight = seen.weight(now);
        double relative = usual > 0 ? (weight * seen.mean() / usual + 1) / (weight + 1) : 1;
        return weight < ENOUGH && relative < REMARKABLE ? 1 : relative;
    }

    private RoleStats usual(Engine engine) {
        return usual.computeIfAbsent(engine.role, role -> {
            List<Engine> peers = peers(engine);
            double share = COLD_LOAD * peers.size() / peers.stream().mapToDouble(this::presentCapacity).sum();
            double rate = answers.perMs(role, now) / Math.max(1, peers.size());
            return new RoleStats(median(peers, e -> e.pace), median(peers, e -> e.typicalMs),
                    median(peers, e -> e.stream), median(peers, e -> e.failures), rate,
                    Math.min(share, COLD_MOST * settings.rules().tipMultiple()));
        });
    }

    private double median(List<Engine> among, Function<Engine, RecentMean> of) {
        return RecentMean.median(among.stream().map(of), SOME, now);
    }

    private List<Engine> peers(Engine engine) {
        return engines.values().stream().filter(e -> e.ready && e.role == engine.role).toList();
    }

    private void good(Engine engine) {
        engine.heardMs = now;
        engine.failedLast = false;
        engine.failures.add(0, now);
        engine.breaker.onSuccess(now);
    }

    private void bad(Engine engine, Attempt attempt) {
        // Silence says less of an engine that we seldom hear anyway.
        engine.failures.add(attempt.ended || engine.failures.weight(now) >= ENOUGH ? 1 : SILENCE, now);
        if (attempt.read) drop(attempt.request, engine);
        double weight = engine.failures.weight(now);
        double rate = engine.failures.mean() * weight / (weight + 1);
        if (rate > FAIL_LIMIT && !(rate <= OUTLIER * usual(engine).failures)) eject(engine, "failing");
    }

    private void eject(Engine engine, String why) {
        if (engine.breaker.isOpen(now) || !engine.ready) return;
        List<Engine> peers = peers(engine);
        long ejected = peers.stream().filter(e -> e.breaker.isTripped() || e == engine).count();
        if (ejected > EJECT_SHARE * peers.size()) return;
        engine.breaker.open(1 / usual(engine).fairRate, now);
        engine.pace.reweigh(1);
        engine.failures.reweigh(0);
        actions.add(new Log("ejected " + Long.toHexString(engine.id) + ": " + why));
    }

    /** Full: not now. Closed: yes. Ejected: no. Half-open: as many out as its good trials allow. */
    private boolean admits(Engine engine) {
        return now >= engine.fullUntil && engine.breaker.admits(engine.out.size(), now);
    }

    // ---- Guards: every send passes here ----

    /** Engines of a role that may be sent to: healthy ones that did not fail the request, if any. */
    private List<Engine> able(Request request, Engine not, Predicate<Engine> role) {
        List<Engine> able = engines.values().stream().filter(repeatAllowed(request))
                .filter(e -> e.ready && role.test(e) && coldRoom(request, e)).toList();
        // Whether an engine that failed last is well again is found out with work that may be repeated.
        List<Predicate<Engine>> wishes = List.of(e -> e != not, this::admits,
                e -> request.attempts.stream().noneMatch(a -> a.engine == e && a.silent),
                e -> request.attempts.stream().noneMatch(a -> a.engine == e && a.failed),
                e -> request.attempts.stream()
                        .noneMatch(a -> (a.unreachable || a.silent) && sameZone(a.engine, e)),
                e -> request.kind.repeat() != Repeat.UNSAFE || e.role == Role.READ || !e.failedLast);
        for (Predicate<Engine> wish : wishes) {
            List<Engine> kept = able.stream().filter(wish).toList();
            if (!kept.isEmpty()) able = kept;
        }
        return able;
    }

    private static boolean sameZone(Engine one, Engine other) {
        return one.member.zone() == other.member.zone();
    }

    private boolean send(Request request, Engine engine, boolean read, double uncached, double matched) {
        if (ProtocolRules.checkAttempt(request.state(), settings.limits()) != Reason.ALLOWED) {
            giveUp(request, EndReason.ATTEMPTS_SPENT);
            return false;
        }
        // A repeat may wait for a connection, and is then withdrawn at the end of its window.
        double startByMs = repeatUntilMs(request);
        if (cold(engine)) engine.coldBucket -= 1;
        Attempt attempt = new Attempt(request, engine, read, now);
        attempt.cost = read ? engine.queued + uncached + READ_OVERHEAD : 1;
        attempt.uncached = uncached;
        attempt.matched = matched;
        request.attempts.add(attempt);
        request.out++;
        engine.out.add(attempt);
        engine.queued += uncached;
        if (!read) engine.projected += request.asked.promptTokens() + request.expectedOutput;
        actions.add(new Send(request.asked.id(), engine.id, request.deadlineMs, startByMs));
        setTimer(request.asked.id(), attempt.number, TimerKind.OVERDUE, now + patience(attempt));
        if (mayLoseItsState(request, engine))
            setTimer(request.asked.id(), attempt.number, TimerKind.DOUBT, attempt.doubtedMs());
        boolean ends = startByMs < request.deadlineMs;
        if (read && ends) setTimer(request.asked.id(), 0, TimerKind.WINDOW, startByMs);
        if (!read && request.holder != null)
            setTimer(request.asked.id(), attempt.number, TimerKind.LEASE, doubtMs(request, engine));
        return true;
    }

    /** Keyed work that may have run goes only where its repeats are dropped; unsafe work nowhere. */
    private Predicate<Engine> repeatAllowed(Request request) {
        if (request.attempts.isEmpty()) return engine -> true;
        RequestState state = request.state();
        return engine -> ProtocolRules.checkRepeat(state, engine.target(), margin(), now) == Reason.ALLOWED;
    }

    /** Whether another writer in service may be sent what one has, or may have, begun. */
    private boolean mayFollow(Request request, Engine writer) {
        return request.kind.repeat() == Repeat.PURE || engines.values().stream()
                .filter(repeatAllowed(request)).anyMatch(e -> e != writer && e.ready && e.role != Role.READ);
    }

    /** Whether a writer, and a reader if it needs one, are in service to which what may have run may go. */
    private boolean groupServes(Request request) {
        if (repeatUntilMs(request) == Double.POSITIVE_INFINITY) return true;
        List<Engine> group = engines.values().stream()
                .filter(repeatAllowed(request)).filter(e -> e.ready).toList();
        return group.stream().anyMatch(e -> e.role != Role.READ)
                && (request.holder != null || group.stream().anyMatch(this::reads));
    }

    /** Until when an attempt may begin, by what may have run already. */
    private double repeatUntilMs(Request request) {
        return ProtocolRules.repeatUntilMs(request.state(), margin());
    }

    private boolean cold(Engine engine) {
        return engineClock.cold(engine.startedMs, now);
    }

    /**
     * Slow start: the part of requests that may go to a cold engine follows its present capacity, and is
     * larger where most of a role was replaced, up to what the rules let it bear. As the least queued it
     * would get all of a small fleet's, so the sends to it are limited by the answers seen, too.
     */
    private boolean coldRoom(Request request, Engine engine) {
        if (!cold(engine)) return true;
        double fair = Math.max(1.0 / (1000 * settings.nodeCount()), usual(engine).fairRate);
        double share = usual(engine).coldShare * presentCapacity(engine);
        engine.coldBucket = Math.min(1, engine.coldBucket + (now - engine.coldAt) * fair * share);
        engine.coldAt = now;
        return request.draw < share && engine.coldBucket >= 0;
    }

    private double presentCapacity(Engine engine) {
        return engineClock.presentCapacity(engine.startedMs, now);
    }

    /** How long an attempt may be out: some times what its peers take, or what its own engine took lately. */
    private double patience(Attempt attempt) {
        // A request that was moved on is moved again only after longer.
        double least = OVERDUE_SHARE * attempt.request.kind.aimMs();
        return Math.max(least, expectedPatience(attempt)) * (1 << attempt.number / 2);
    }

    private double expectedPatience(Attempt attempt) {
        double pace = usual(attempt.engine).pace;
        double expected = Math.max(Double.isNaN(pace) ? 0 : pace * attempt.cost, seenMs(attempt.engine));
        // What we only assume to be kept there may have to be read.
        boolean assumed = pace > 0 && attempt.request.homes.contains(attempt.engine);
        double whole = assumed ? pace * attempt.request.asked.promptTokens() : 0;
        return OVERDUE * Math.max(expected, whole / 2);
    }

    /** Silence, or a known outlier: an attempt is out far longer than peers take. Try elsewhere. */
    private void overdue(Request request, int number) {
        Attempt attempt = number < request.attempts.size() ? request.attempts.get(number) : null;
        boolean over = request.phase == Phase.DONE || request.phase == Phase.STREAMING;
        if (over || attempt == null || attempt.ended || attempt.cancelled
                || request.attempts.size() >= settings.limits().maxAttempts() - 1) {
            return;
        }
        boolean silent = attempt.engine.heardMs < attempt.sentMs;
        // A full writer's queue is quiet too: only silence as long as an aim counts against the engine.
        boolean mute = silent && now - attempt.engine.heardMs > request.kind.aimMs();
        boolean unsafe = request.kind.repeat() == Repeat.UNSAFE;
        double againMs = now + OVERDUE_SHARE * request.kind.aimMs();
        // What may have begun to answer and can't be repeated is waited for: called off, it is lost for sure.
        if (attempt.prior().mayHaveRun() && !mayFollow(request, attempt.engine)) {
            if (mute) bad(attempt.engine, attempt);
            else setTimer(request.asked.id(), number, TimerKind.OVERDUE, againMs);
            return;
        }
        // Retries are rationed against storms, and where the whole role is behind, a copy only adds to it.
        // Either may have changed a little later. An answer that is lost comes from no lack of capacity.
        boolean lost = attempt.overtaken();
        boolean behind = pooled(attempt.read ? reads : firstTokens) > BEHIND * request.kind.aimMs();
        if (!lost && (!retries.allowsRetry() || behind && unmet(attempt.engine))) {
            setTimer(request.asked.id(), number, TimerKind.OVERDUE, againMs);
            return;
        }
        if (!silent && !lost && !attempt.excused && relativePace(attempt.engine) < OUTLIER) {
            // Others were answered: a queue, or an answer that was lost. The second time it counts as lost.
            attempt.excused = true;
            setTimer(request.asked.id(), number, TimerKind.OVERDUE, 2 * now - attempt.sentMs);
            return;
        }
        if (mute) bad(attempt.engine, attempt);
        retries.spend();
        // Guards against a second send of unsafe work while the first is out, a read's included: call it off.
        if (attempt.read && settings.limits().secondCopies() && !unsafe) read(request, attempt.engine);
        else cancel(attempt);
    }

    /** Whether a read has to be doubted in time; where copies are allowed, overdue sends one. */
    private boolean mayLoseItsState(Request request, Engine engine) {
        boolean copied = settings.limits().secondCopies() && request.kind.repeat() != Repeat.UNSAFE;
        return engine.role == Role.READ && !copied;
    }

    /**
     * A read may have ended with an answer that was lost, and its state has been held since: it is called off
     * in time for a release. Not while reads wait everywhere, nor at a reader that we hardly know: then it is
     * no sign of a loss that one does. The budget of retries may be overdrawn for it.
     */
    private void doubtRead(Request request, int number) {
        Attempt read = number < request.attempts.size() ? request.attempts.get(number) : null;
        if (request.phase != Phase.READING || read == null || read.ended || read.cancelled) return;
        double dueMs = read.doubtedMs();
        boolean known = familiar(read.engine);
        if (!known && now > dueMs + settings.rules().pinLimitMs()) return;
        boolean queue = !known || cold(read.engine) || now - shutToldMs < WAIT_MS
                || pooled(reads) > BEHIND * request.kind.aimMs();
        if (now < dueMs || queue || !retries.allowsOverdraft()) {
            double waitMs = now < dueMs ? Math.min(dueMs - now, DOUBT_AGAIN_MS) : DOUBT_AGAIN_MS;
            setTimer(request.asked.id(), number, TimerKind.DOUBT, now + waitMs);
            return;
        }
        retries.overdraw();
        if (request.attempts.size() < settings.limits().maxAttempts() - 1) cancel(read);
        else giveUp(request, EndReason.READ_UNANSWERED);
    }

    private void cancel(Attempt attempt) {
        if (!attempt.ended && !attempt.cancelled && settings.limits().cancel()) {
            attempt.cancelled = true;
            actions.add(new Cancel(attempt.request.asked.id(), attempt.number));
        }
    }

    private void onFailure(Request request, Attempt attempt, Outcome outcome) {
        if (request.phase == Phase.STREAMING || request.out > 0) return;
        keepIfWaitedFor(request, attempt, outcome);
        // The reader that held it has died or is cut off from the writer, perhaps from here too.
        Engine not = outcome == Outcome.STATE_GONE ? request.holder : attempt.engine;
        if (outcome == Outcome.STATE_GONE) request.holder = null;
        boolean spent = request.attempts.size() >= settings.limits().maxAttempts();
        // What may have been done can be neither repeated nor taken elsewhere: no use in holding its state.
        if (now >= repeatUntilMs(request)) giveUp(request, EndReason.MAY_HAVE_RUN);
        else if (spent) giveUp(request, EndReason.ATTEMPTS_SPENT);
        else if (lastMoment(request) <= now) giveUp(request, EndReason.DEADLINE);
        else if (!groupServes(request)) giveUp(request, EndReason.MAY_HAVE_RUN);
        else if (request.holder == null) readAnew(request, not);
        else if (now >= leaseEndMs(request)) readAnew(request, null);
        else write(request, attempt.engine);
    }

    /** What a running writer waited for was not let go when it was reclaimed: its time begins anew. */
    private void keepIfWaitedFor(Request request, Attempt write, Outcome outcome) {
        boolean ran = StateLease.isAnswer(outcome) || write.engine.heardMs > write.sentMs;
        if (request.doubted != null && ran && outcome != Outcome.STATE_GONE) {
            request.holder = request.doubted;
            hold(request);
        }
        request.doubted = null;
    }

    /**
     * A writer could not get the state, though its reader may hold it still, or silent writers used up its
     * time: let it go. Its reader keeps the prompt's tokens.
     */
    private void readAnew(Request request, Engine not) {
        if (request.held) actions.add(new Release(request.asked.id()));
        request.held = false;
        request.holder = null;
        read(request, not);
    }

    /** No engine can be sent to now: look again soon, within what the pin rule allows. */
    private void wait(Request request) {
        int attempts = request.attempts.size();
        if (request.held) setTimer(request.asked.id(), attempts, TimerKind.LEASE, leaseEndMs(request));
        setTimer(request.asked.id(), 0, TimerKind.RESELECT, now + RESELECT_MS);
    }

    private void reselect(Request request) {
        if (request.out > 0) return;
        if (now > request.aimMs || !groupServes(request)) giveUp(request, EndReason.NO_ENGINE);
        if (request.phase == Phase.HOLDING) write(request, null);
        if (request.phase == Phase.READING) read(request, null);
    }

    /** The time of a state is over or nearly so: it waits, or the write that was sent for it is silent. */
    private void leaseEnds(Request request, int number) {
        boolean over = request.phase == Phase.DONE || request.phase == Phase.STREAMING;
        if (over || !request.held || request.holder == null) return;
        if (request.out == 0) {
            if (now >= leaseEndMs(request)) giveUp(request, EndReason.STATE_HELD_TOO_LONG);
            return;
        }
        Attempt write = number < request.attempts.size() ? request.attempts.get(number) : null;
        if (write == null || write.ended || write.cancelled || write.read) return;
        actions.add(new Reclaim(request.asked.id()));
        request.doubted = request.holder;
        request.holder = null;
    }

    /**
     * Until when a silent write has its state held for it. One that may be repeated may be called off before,
     * as overdue, and its state goes to another writer; for unsafe work nothing is left to be done with it.
     */
    private double doubtMs(Request request, Engine writer) {
        if (request.kind.repeat() != Repeat.UNSAFE) return leaseEndMs(request);
        return request.lease.doubtMs(now, usual(writer).waitMs, margin());
    }

    private double leaseEndMs(Request request) {
        return request.lease.expiresMs() - margin();
    }

    private double margin() {
        return MARGIN_TICKS * settings.tickMs() + MARGIN_MS;
    }

    private double lastMoment(Request request) {
        return request.deadlineMs - margin();
    }

    // ---- Admission: load shedding by worth ----

    /**
     * Work gives way when its first token is expected near its own aim, or near that of work worth more.
     * Guards against every lasting lack of capacity; could harm where a short burst would have passed.
     */
    private boolean overloaded(Request request) {
        Engine reader = chooseReader(request, null);
        if (reader == null) return false;
        double[] waits = able(request, null, e -> e.role != Role.READ).stream().mapToDouble(this::lately)
                .sorted().toArray();
        double median = waits.length == 0 ? 0 : waits[(waits.length - 1) / 2];
        double own = Math.max(readMs(reader, reader.queued), oldestMs(reader));
        double all = unmet(reader) ? pooled(reads) : 0;
        double queue = Math.max(own, all) + Math.max(median, pooled(firstTokens));
        double limit = Math.min(request.aimMs, lastMoment(request)) - now;
        // A long prompt takes its time without a queue: what it needs itself is no overload.
        double whole = queue + (calmPace < Bounds.MOST ? calmPace * needed(request, reader) : 0);
        boolean shut = queue > QUEUED * limit && whole > ADMIT * limit;
        for (RequestClass other : settings.classes()) {
            if (other.priority() > request.worth) limit = Math.min(limit, other.aimMs());
        }
        shut |= queue > ADMIT * limit;
        if (shut && now - shutToldMs >= SHUT_LOG_MS) {
            shutToldMs = now;
            actions.add(new Log(String.format(Locale.ROOT, "admission shut: reader %x %.0f ms (oldest %.0f), "
                    + "all readers %.0f, writers' median %.0f, first tokens %.0f, of %.0f", reader.id, own,
                    oldestMs(reader), all, median, pooled(firstTokens), limit)));
        }
        return shut;
    }

    /** An engine that we meet so seldom that its own waits say little: then those of its role stand in. */
    private boolean unmet(Engine engine) {
        return usual(engine).fairRate * WAIT_MS < 1;
    }

    /** Whether we hear of an engine often enough to tell a loss from a queue. */
    private boolean familiar(Engine engine) {
        return usual(engine).fairRate * RATE_MS >= ENOUGH;
    }

    private double pooled(RecentMean waits) {
        return waits.faded(POOL_MS, now);
    }

    /** What an engine makes us wait: its recent times, or the age of what still waits there. */
    private double waitMs(Engine engine) {
        return Math.max(oldestMs(engine), seenMs(engine));
    }

    /** Its recent times alone: an engine that is silent must not excuse its silence by its oldest attempt. */
    private double seenMs(Engine engine) {
        double usual = usual(engine).waitMs > 0 ? usual(engine).waitMs : 0;
        // Remembered for longer than the gap between two samples, however many engines share our work.
        double fadeMs = Math.max(WAIT_MS, Math.min(MEMORY_MS, 1 / usual(engine).fairRate));
        double excess = usual * (relative(engine.typicalMs, usual) - 1);
        return usual + excess * Math.exp((engine.heardMs - now) / fadeMs);
    }

    /** A jam is believed no longer than it is seen: admission, once shut, would get no news to open on. */
    private double lately(Engine engine) {
        return Math.max(oldestMs(engine), waitMs(engine) * Math.exp((engine.heardMs - now) / POOL_MS));
    }

    /** Guards against a lost answer that would pass for a queue and shut admission for a deadline. */
    private double oldestMs(Engine engine) {
        return engine.out.stream().filter(a -> !a.begun && !a.cancelled && !a.overtaken()).findFirst()
                .map(a -> now - a.sentMs).orElse(0.0);
    }

    /** Ends a request unserved, at once; refused if a retry is harmless, to come when waits have faded. */
    private void giveUp(Request request, EndReason why) {
        if (request.phase == Phase.DONE || request.phase == Phase.STREAMING) return;
        boolean harmless = ProtocolRules.checkRefusal(request.state(), margin(), now) == Reason.ALLOWED;
        double leftMs = repeatUntilMs(request) - now;
        // A repeat inside its window does no harm: the client must be able to come back before its end.
        double most = Math.min(settings.limits().maxRetryAfterMs(), leftMs / 2);
        double later = settings.limits().retryAfter() ? Math.min(most, WAIT_MS) : 0;
        long id = request.asked.id();
        actions.add(harmless ? new Refuse(id, later, why) : new Fail(id, why));
        request.attempts.forEach(this::cancel);
        close(request);
    }

    private void close(Request request) {
        if (request != null && request.phase != Phase.DONE) {
            request.phase = Phase.DONE;
            cleanUp(request);
        }
    }

    /** A release passes over what an attempt still waits for, so each that ends later brings another. */
    private void cleanUp(Request request) {
        if (request.held) actions.add(new Release(request.asked.id()));
        if (request.out == 0) requests.remove(request.asked.id());
    }

    private void account(Attempt attempt, Ended ended) {
        Request request = attempt.request;
        Engine engine = attempt.engine;
        engine.out.remove(attempt);
        engine.queued = Math.max(0, engine.queued - attempt.uncached);
        double tokens = attempt.read ? 0 : request.asked.promptTokens() + request.expectedOutput;
        engine.projected = Math.max(0, engine.projected - tokens);
        if (ended.outcome() != Outcome.SERVED) return;
        double output = OUTPUT_WEIGHT * request.expectedOutput;
        request.attempts.stream().filter(a -> a.read).reduce((a, b) -> b)
                .ifPresent(a -> a.engine.counters.charge(request.client, output));
    }

    /** Entries in the tables, for watching that they stay bounded. */
    int held() {
        return requests.size() + sessions.size() + prefixes.size() + arrivals.size() + engines.size();
    }

    /** The engine of the lowest value; equals by the key's rendezvous hash, so that nodes don't herd. */
    private static Engine least(Collection<Engine> among, ToDoubleFunction<Engine> by, long key) {
        return Rendezvous.least(among, by, engine -> engine.id, key);
    }
}
