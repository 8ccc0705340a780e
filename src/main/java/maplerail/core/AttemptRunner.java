package maplerail.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;

/** Makes the attempts that the module asks for, ends them, and tells how each one ended. */
final class AttemptRunner {
    /** Without an event, after which a stream has stopped: clients are owed its end within 5 s. */
    private static final double STALL_MS = 4_500;
    /** That an attempt is left open after its request's answer while the reader of its state is out of reach. */
    private static final double LINGER_MS = 8_000;
    private static final Router.Load UNTOLD = new Router.Load(Double.NaN);

    private final EngineTransport engines;
    private final Loop loop;
    private final Fleet fleet;
    private final RequestRegistry registry;
    private final Relay relay;
    private final Router.Settings settings;
    private final HeldStates held;
    private final RepeatLog repeats;
    private final RuleMonitor monitor;
    private final ServiceCounters counters;
    private final FailureLog failureLog;
    private final Consumer<String> log;
    private final Set<ActiveRequest> touched = new LinkedHashSet<>();
    private DecisionLoop decisions;
    private Consumer<ActiveRequest> gone;

    AttemptRunner(EngineTransport engines, Loop loop, Fleet fleet, RequestRegistry registry, HeldStates held,
            Relay relay,
            Router.Settings settings, RuleMonitor monitor, ServiceCounters counters, FailureLog failureLog,
            Consumer<String> log) {
        this.engines = engines;
        this.loop = loop;
        this.fleet = fleet;
        this.registry = registry;
        this.relay = relay;
        this.settings = settings;
        this.held = held;
        this.repeats = new RepeatLog(settings.classes(), counters, log);
        this.monitor = monitor;
        this.counters = counters;
        this.failureLog = failureLog;
        this.log = log;
    }

    /** Where attempts' ends are told, and who hears of a caller that is found to have left. */
    void use(DecisionLoop to, Consumer<ActiveRequest> whenGone) {
        decisions = to;
        gone = whenGone;
    }

    void attempt(Router.Send order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null) return;
        ActiveRequest.Attempt attempt = new ActiveRequest.Attempt(active, order.engine(),
                fleet.target(order.engine()), loop.nowMs());
        double until = order.deadlineMs() > 0 ? Math.min(order.deadlineMs(), active.deadlineMs) : active.deadlineMs;
        Reason verdict = verdict(active, order.engine());
        if (verdict == Reason.ALLOWED && until <= loop.nowMs()) verdict = Reason.DEADLINE_PASSED;
        active.attempts.add(attempt);
        if (verdict != Reason.ALLOWED) {
            withhold(attempt, verdict);
            ended(attempt, Outcome.NOT_SENT, 0);
            return;
        }
        repeats.tell(attempt);
        attempt.timeout = loop.schedule(until, () -> cut(attempt, Outcome.TIMEOUT));
        attempt.sending = engines.send(order.engine(), active.request, until,
                () -> mayBegin(attempt, order.startByMs()),
                new EngineTransport.AnswerListener() {
                    @Override
                    public void event(byte[] event) {
                        if (!attempt.ended) heard(attempt, event);
                    }

                    @Override
                    public void rejected() {
                        if (!attempt.ended) reject(attempt);
                    }

                    @Override
                    public void ended(Outcome outcome, double kept) {
                        AttemptRunner.this.ended(attempt, outcome, kept);
                    }
                });
        if (order.startByMs() < until) loop.schedule(order.startByMs(), () -> withdraw(attempt));
    }

    /** Whether an attempt may go out now, by what has really happened; looks whether its client is still there. */
    private Reason verdict(ActiveRequest active, long engine) {
        if (!active.answered && active.caller.hasDisconnected()) gone.accept(active);
        return ProtocolRules.checkSend(active.state(settings.classes()), fleet.target(engine), settings.limits(),
                loop.nowMs());
    }

    /**
     * Asked right before an attempt that has waited for its connection is written. Guards against a client that left
     * in the same moment, against news of its engine that came meanwhile, and against a repeat after its window, as the
     * timer that withdraws it may be late.
     */
    private boolean mayBegin(ActiveRequest.Attempt attempt, double startByMs) {
        ActiveRequest active = attempt.active;
        if (!active.answered && active.caller.hasDisconnected()) gone.accept(active);
        if (attempt.ended) return false;
        Reason verdict = ProtocolRules.checkBegin(active.state(settings.classes()), fleet.target(attempt.engine),
                loop.nowMs());
        if (verdict == Reason.ALLOWED && loop.nowMs() >= startByMs) verdict = Reason.REPEAT_WINDOW_OVER;
        if (verdict == Reason.ALLOWED) return true;
        counters.count(verdict);
        cut(attempt, Outcome.CANCELLED);
        return false;
    }

    private void withhold(ActiveRequest.Attempt attempt, Reason why) {
        counters.count(why);
        // The module can't know yet that a client left or its time ran out in this very step, nor news that it has not
        // been told; all else it should not have ordered.
        boolean ordinary = why == Reason.REQUEST_OVER || why == Reason.DEADLINE_PASSED
                || why == Reason.ENGINE_NOT_IN_SERVICE;
        if (!ordinary) {
            monitor.breach(RuleMonitor.Breach.SEND_WITHHELD, attempt.active.request.id(),
                    why + " at " + Long.toHexString(attempt.engine));
        }
    }

    /** Takes an attempt back while not a byte of it has gone out. */
    private void withdraw(ActiveRequest.Attempt attempt) {
        if (!attempt.ended && attempt.sending.unsent()) cut(attempt, Outcome.UNREACHABLE);
    }

    private void heard(ActiveRequest.Attempt attempt, byte[] event) {
        if (attempt.reader) {
            cut(attempt, Outcome.RESET);
            return;
        }
        ActiveRequest active = attempt.active;
        attempt.heardMs = loop.nowMs();
        if (active.winner == null && !active.answered) {
            active.winner = attempt;
            attempt.timeout.cancel();
            watch(attempt, STALL_MS);
            active.guard.cancel();
            held.taken(active);
            decisions.tell(new Router.FirstToken(active.number, attempt.number, attempt.engine,
                    loop.nowMs() - attempt.sentMs));
        }
        if (active.winner == attempt) relay.event(attempt, event);
        else cut(attempt, Outcome.CANCELLED);
    }

    /**
     * Guards against an engine that falls silent in the middle of a stream: its connection stays open, no deadline
     * runs any more, and the client would wait for good instead of asking for the rest elsewhere.
     */
    private void watch(ActiveRequest.Attempt attempt, double afterMs) {
        attempt.timeout = loop.schedule(loop.nowMs() + afterMs, () -> {
            double quietMs = attempt.paused ? 0 : loop.nowMs() - attempt.heardMs;
            if (quietMs >= STALL_MS) cut(attempt, Outcome.RESET);
            else if (!attempt.ended) watch(attempt, STALL_MS - quietMs);
        });
    }

    /**
     * Guards against a request that no engine can use: sent to one after another it would use up all its attempts,
     * and the module would hold each of them to be failing.
     */
    private void reject(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        boolean last = registry.answer(active);
        ended(attempt, Outcome.CANCELLED, 0);
        if (!last) return;
        cutAll(active);
        decisions.tell(new Router.Abandoned(active.number));
        failureLog.bad(active, "turned away by an engine as unfit");
        active.caller.fail(Caller.Why.INVALID);
    }

    /** Calls an attempt off, unless its stream is the caller's already. */
    void cancel(Router.Cancel order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null || order.attempt() >= active.attempts.size()) return;
        ActiveRequest.Attempt attempt = active.attempts.get(order.attempt());
        if (active.winner != attempt) callOff(attempt);
    }

    /** The caller has left: nobody reads a stream either. */
    void cutAll(ActiveRequest active) {
        for (ActiveRequest.Attempt attempt : List.copyOf(active.attempts)) callOff(attempt);
    }

    /**
     * Ends an attempt; while a state is held for the request only once the state's reader answers. Guards against a
     * reader that fell silent: with no attempt out, the state would count as pinned before it could be let go. That
     * goes for a read at another reader, too, which is under way because a writer could not reach the first.
     */
    private void callOff(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        if (attempt.ended || attempt.lingers || attempt.sending == null) return;
        attempt.lingers = active.answered && active.winner != attempt && !active.holds.isEmpty()
                && !attempt.sending.unsent();
        if (!attempt.lingers) {
            cut(attempt, Outcome.CANCELLED);
            return;
        }
        attempt.timeout.cancel();
        double untilMs = loop.nowMs() + LINGER_MS;
        attempt.timeout = loop.schedule(untilMs, () -> cut(attempt, Outcome.CANCELLED));
        held.releaseWhileOut(active, untilMs, () -> cut(attempt, Outcome.CANCELLED));
    }

    /** What has not left this machine must not follow the news that its engine wants nothing more. */
    void withdrawUnsent() {
        for (ActiveRequest active : registry.all()) {
            // A copy, as the module may answer the end of one with another.
            for (ActiveRequest.Attempt attempt : List.copyOf(active.attempts)) {
                if (!fleet.ready(attempt.engine)) withdraw(attempt);
            }
        }
    }

    private void cut(ActiveRequest.Attempt attempt, Outcome outcome) {
        if (attempt.ended) return;
        Outcome proven = attempt.sending.unsent() && outcome == Outcome.CANCELLED ? Outcome.NOT_SENT : outcome;
        attempt.sending.abort();
        if (attempt.reader && !proven.hadNoEffect) attempt.active.cutReadsMs.put(attempt.engine, loop.nowMs());
        ended(attempt, proven, 0);
    }

    /**
     * An answer that an engine of this role never gives belongs to another request, as a second answer that came late
     * on a kept connection: it proves nothing of this attempt.
     */
    private Outcome believed(ActiveRequest.Attempt attempt, Outcome told) {
        Router.Role role = fleet.target(attempt.engine).role();
        boolean foreign = role == Router.Role.READ && (told == Outcome.SERVED || told == Outcome.STATE_GONE)
                || role == Router.Role.WRITE && told == Outcome.READ && !settings.limits().writersRead();
        if (!foreign) return told;
        log.accept(
                "answer " + told + " of a " + role + " engine to " + attempt.active.request.id() + " is not believed, "
                        + attempt.sending.trace());
        return Outcome.ERROR;
    }

    private void ended(ActiveRequest.Attempt attempt, Outcome told, double kept) {
        if (attempt.ended) return;
        Outcome outcome = believed(attempt, told);
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.endedMs = loop.nowMs();
        counters.count(outcome);
        touched.add(attempt.active);
        if (attempt.timeout != null) attempt.timeout.cancel();
        ActiveRequest active = attempt.active;
        // An answer that is not believed proves nothing.
        if (outcome == told) held.attemptEnded(active, outcome);
        if (outcome == Outcome.READ) held.granted(active, attempt.engine);
        // A read that was cut off may have ended well just then.
        if (attempt.reader && !outcome.hadNoEffect) held.unanswered(active, attempt);
        // So may one whose connection broke: nobody has told its reader to stop.
        if (attempt.reader && outcome == Outcome.RESET) active.cutReadsMs.put(attempt.engine, loop.nowMs());
        // An answer may be whole without an event; it is the caller's all the same.
        if (outcome == Outcome.SERVED && active.winner == null && !active.answered) active.winner = attempt;
        if (active.winner == attempt) relay.ended(attempt, outcome);
        decisions.tell(new Router.Ended(active.number, attempt.number, attempt.engine, outcome,
                loop.nowMs() - attempt.sentMs, kept, active.answered, UNTOLD));
    }

    /**
     * Settles the requests of attempts that ended, once the module has said all that it wants. Guards against letting
     * go of a cut read's state at a reader to which the module sends the same request in its next breath.
     */
    void settle() {
        touched.forEach(registry::settle);
        touched.clear();
    }
}
