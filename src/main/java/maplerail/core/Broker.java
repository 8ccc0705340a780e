package maplerail.core;

import java.util.function.Consumer;
import java.util.stream.Collectors;
import maplerail.Router;
import maplerail.core.Caller.Why;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;

/**
 * Drives one decision module on one event loop. A request passes the stages admission, quotas, decisions, attempts,
 * relay and registry; the broker knows requests, attempts and outcomes and no wire. All calls are made on the loop.
 */
public final class Broker {
    private static final int MOST_ENGINES_TOLD = 8; // in a log line
    private static final double GUARD_MS = 4; // past a deadline; the module answers before it

    private final Loop loop;
    private final Fleet fleet;
    private final RequestRegistry registry;
    private final HeldStates held;
    private final Admission admission;
    private final Quotas quotas;
    private final DecisionLoop decisions;
    private final AttemptRunner runner;
    private final Relay relay;
    private final FailureLog failureLog;
    private final Consumer<String> log;
    private final Router.Settings settings;
    private final ServiceCounters counters;
    private final RuleMonitor monitor;

    /** Makes a broker round a module that has just come up with these settings. */
    public Broker(Router router, Router.Settings settings, Quotas quotas, Loop loop, EngineTransport engines,
            Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        this.settings = settings;
        counters = new ServiceCounters(loop, log);
        monitor = new RuleMonitor(loop, counters, log);
        fleet = new Fleet(settings.kinds());
        this.quotas = quotas;
        held = new HeldStates(engines, loop, settings.rules().pinLimitMs(), monitor, counters, log);
        registry = new RequestRegistry(held, loop, quotas, settings.rules(), monitor);
        admission = new Admission(loop, registry);
        failureLog = new FailureLog(loop, log);
        relay = new Relay(registry, loop, failureLog, counters);
        runner = new AttemptRunner(engines, loop, fleet, registry, held, relay, settings, monitor, counters, failureLog,
                log);
        decisions = new DecisionLoop(router, loop, this::perform, runner::settle, log);
        runner.use(decisions, this::gone);
    }

    /** Takes a request; its caller gets its one final answer in any case. */
    public RequestHandle submit(ServiceRequest request, Caller caller) {
        ActiveRequest active = admission.take(request, caller);
        if (active == null) {
            caller.fail(Why.DUPLICATE);
            return new Closed();
        }
        Quotas.Denied denied = quotas.check(request);
        if (denied != null) {
            registry.answer(active);
            registry.settle(active);
            counters.count(FinalAnswer.NOT_ADMITTED);
            failureLog.bad(active, "not admitted (" + denied.why() + ")");
            caller.refuse(denied.why(), denied.retryAfterMs());
            return new Closed();
        }
        active.admitted = true;
        active.guard = loop.schedule(active.deadlineMs + GUARD_MS, () -> overdue(active));
        decisions.tell(new Router.Arrival(active.number, request.kind(), request.tenant(), request.session(),
                request.promptTokens(),
                request.prefix(), request.prefixTokens(), Math.max(0, active.deadlineMs - loop.nowMs()),
                request.maxOutput(), request.hintMs(),
                request.resumed()));
        return new Open(active);
    }

    /** News of the engines; what has not gone out yet obeys it too. */
    public void updateEngines(Router.Members news) {
        fleet.hear(news);
        tellChanges(news);
        decisions.tell(news);
        runner.withdrawUnsent();
    }

    /** Tells which engines leave service, as what follows for them is often asked after. */
    private void tellChanges(Router.Members news) {
        if (news.kind() != Router.ListKind.CHANGES) return;
        String leaving = news.members().stream().filter(member -> member.state() != Router.State.READY)
                .limit(MOST_ENGINES_TOLD).map(member -> Long.toHexString(member.engine()) + " " + member.state())
                .collect(Collectors.joining(", "));
        if (!leaving.isEmpty()) log.accept("list " + news.version() + ": " + leaving);
    }

    /** What happened so far, by kind and reason. */
    public ServiceCounters counters() {
        return counters;
    }

    /** Requests that still wait for their final answer. */
    public int unanswered() {
        return registry.unanswered();
    }

    /** Requests of which anything is still remembered. */
    public int retainedRequests() {
        return registry.size();
    }

    /** Releases that have not been answered or are still to be sent, of requests that may be over. */
    public int pendingReleases() {
        return held.unfinished();
    }

    private void perform(Router.Action action) {
        if (action instanceof Router.Send order) runner.attempt(order);
        else if (action instanceof Router.Cancel order) runner.cancel(order);
        else if (action instanceof Router.Release order) withRequest(order.id(), held::release);
        else if (action instanceof Router.Reclaim order) withRequest(order.id(), held::reclaim);
        else if (action instanceof Router.Refuse refuse) refuse(refuse);
        else if (action instanceof Router.Fail fail) fail(fail.id(), Why.ENGINE, fail.reason());
        else if (action instanceof Router.SetTimer timer) {
            loop.schedule(timer.atMs(), () -> decisions.tell(new Router.Timer(timer.token())));
        } else if (action instanceof Router.Log line) log.accept(line.text());
        // Subscribe and FetchList need nothing: the list is always watched.
    }

    private void withRequest(long number, Consumer<ActiveRequest> act) {
        ActiveRequest active = registry.find(number);
        if (active != null) act.accept(active);
    }

    private void refuse(Router.Refuse order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null || active.answered) return;
        Reason verdict = ProtocolRules.checkRefusal(active.state(settings.classes()), 0, loop.nowMs());
        if (verdict != Reason.ALLOWED) {
            monitor.breach(RuleMonitor.Breach.REFUSAL_WITHHELD, active.request.id(), verdict.name());
            fail(order.id(), Why.ENGINE, order.reason());
            return;
        }
        registry.answer(active);
        registry.settle(active);
        counters.count(FinalAnswer.REFUSED);
        counters.count(order.reason());
        failureLog.bad(active, "refused (" + order.reason() + ")");
        active.caller.refuse(Why.OVERLOAD, order.retryAfterMs());
    }

    private void fail(long number, Why why, Router.EndReason reason) {
        ActiveRequest active = registry.find(number);
        if (active == null || !registry.answer(active)) return;
        registry.settle(active);
        counters.count(FinalAnswer.FAILED);
        counters.count(reason);
        failureLog.bad(active, why == Why.DEADLINE ? "not answered by its deadline" : "failed (" + reason + ")");
        active.caller.fail(why);
    }

    /** The module gave no answer in time: nothing may be late for want of one. */
    private void overdue(ActiveRequest active) {
        if (active.answered || active.winner != null) return;
        fail(active.number, Why.DEADLINE, Router.EndReason.DEADLINE);
        leave(active);
    }

    private void gone(ActiveRequest active) {
        if (!registry.answer(active)) {
            boolean whole = active.winner != null && active.winner.outcome == Router.Outcome.SERVED;
            if (whole) failureLog.broken(active, "left by its client before the end of its answer had gone out");
            return;
        }
        counters.count(FinalAnswer.CLIENT_LEFT);
        failureLog.bad(active, "left by its client");
        leave(active);
    }

    private void leave(ActiveRequest active) {
        decisions.tell(new Router.Abandoned(active.number));
        runner.cutAll(active);
        registry.settle(active);
    }

    /** A request that was never open, or no longer is. */
    private static final class Closed implements RequestHandle {
        @Override
        public void cancel() {}

        @Override
        public void writable() {}
    }

    private final class Open implements RequestHandle {
        private final ActiveRequest active;

        Open(ActiveRequest active) {
            this.active = active;
        }

        @Override
        public void cancel() {
            Broker.this.gone(active);
        }

        @Override
        public void writable() {
            relay.writable(active);
        }
    }
}
