package maplerail.core;

import java.util.function.Consumer;
import java.util.stream.Collectors;
import maplerail.Router;
import maplerail.core.Caller.Why;
import maplerail.policy.AnswerTimes;
import maplerail.policy.DepartedEngines;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;

/**
 * Runs one decision module on one event loop. A request passes the stages admission, quotas, decisions, attempts, relay
 * and registry. The broker handles requests, attempts and outcomes and is independent of wire protocols. All calls must
 * be made on the loop.
 */
public final class Broker {
    private static final int MAX_ENGINES_PER_LOG_LINE = 8;
    private static final double DEADLINE_GUARD_MS = 4; // after the deadline, so that the module answers first

    private final EventLoop loop;
    private final Fleet fleet;
    private final DepartedEngines departedEngines = new DepartedEngines();
    private final RequestRegistry registry;
    private final HeldStates heldStates;
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

    /** Creates a broker for a newly created module with these settings. */
    public Broker(Router router, Router.Settings settings, Quotas quotas, EventLoop loop, EngineTransport transport,
            Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        this.settings = settings;
        counters = new ServiceCounters(loop, log);
        monitor = new RuleMonitor(loop, counters, log);
        fleet = new Fleet(settings.kinds());
        this.quotas = quotas;
        AnswerTimes answerTimes = new AnswerTimes();
        heldStates = new HeldStates(transport, loop, fleet, answerTimes, settings.rules().pinLimitMs(), monitor,
                counters, log);
        registry = new RequestRegistry(heldStates, loop, quotas, settings.rules(), monitor);
        admission = new Admission(loop, registry, settings.classes());
        failureLog = new FailureLog(loop, log);
        relay = new Relay(registry, loop, failureLog, counters);
        runner = new AttemptRunner(transport, loop, fleet, answerTimes, registry, heldStates, relay, settings, monitor,
                counters, failureLog, log);
        decisions = new DecisionLoop(router, loop, this::perform, runner::settle, log);
        runner.connect(decisions, this::onCallerDisconnected);
        heldStates.unconfirmed().connect(runner::callOff);
    }

    /** Accepts a request. Its caller gets exactly one final answer in any case, unless it disconnects before. */
    public RequestHandle submit(ServiceRequest request, Caller caller) {
        ActiveRequest active = admission.admit(request, caller);
        if (active == null) {
            caller.fail(Why.DUPLICATE);
            return new ClosedHandle();
        }
        Quotas.Denial denial = quotas.admit(request);
        if (denial != null) {
            registry.claimFinalAnswer(active);
            registry.settle(active);
            counters.count(FinalAnswer.NOT_ADMITTED);
            failureLog.requestFailed(active, "not admitted (" + denial.reason() + ")");
            caller.refuse(denial.reason(), denial.retryAfterMs());
            return new ClosedHandle();
        }
        active.admitted = true;
        active.deadlineGuard = loop.schedule(active.deadlineMs + DEADLINE_GUARD_MS, () -> onDeadlineMissed(active));
        decisions.deliver(new Router.Arrival(active.number, request.kind(), request.tenant(), request.session(),
                request.promptTokens(), request.prefix(), request.prefixTokens(),
                Math.max(0, active.deadlineMs - loop.nowMs()), request.maxOutputTokens(), request.hintMs(),
                request.retry()));
        return new OpenHandle(active);
    }

    /** Updates the list of engines and withdraws unsent attempts at engines that have left service. */
    public void updateEngines(Router.Members list) {
        Router.Members update = departedEngines.apply(list, loop.nowMs());
        logOutdatedEntries(list, update);
        fleet.update(update);
        logLeavingEngines(update);
        decisions.deliver(update);
        runner.withdrawUnsent();
    }

    /** Logs the engines that an older list has in service although they were told to leave. */
    private void logOutdatedEntries(Router.Members list, Router.Members update) {
        if (update == list) return;
        String outdated = update.members().stream().filter(member -> !list.members().contains(member))
                .limit(MAX_ENGINES_PER_LOG_LINE).map(member -> Long.toHexString(member.engine()))
                .collect(Collectors.joining(", "));
        if (!outdated.isEmpty())
            log.accept("engine list " + list.version() + " is behind, not taken back into service: " + outdated);
    }

    /** Logs which engines leave service, for tracing what followed from it. */
    private void logLeavingEngines(Router.Members update) {
        if (update.kind() != Router.ListKind.CHANGES) return;
        String leaving = update.members().stream().filter(member -> member.state() != Router.State.READY)
                .limit(MAX_ENGINES_PER_LOG_LINE).map(member -> Long.toHexString(member.engine()) + " " + member.state())
                .collect(Collectors.joining(", "));
        if (!leaving.isEmpty()) log.accept("engine list " + update.version() + ", leaving service: " + leaving);
    }

    /** Counters of outcomes, reasons and other events so far. */
    public ServiceCounters counters() {
        return counters;
    }

    /** Number of requests without a final answer. */
    public int unansweredRequests() {
        return registry.unanswered();
    }

    /** Number of requests that are kept in the registry, answered or not. */
    public int retainedRequests() {
        return registry.size();
    }

    /** Number of releases that are unanswered or still to be sent, including those of closed requests. */
    public int pendingReleases() {
        return heldStates.pendingReleases();
    }

    private void perform(Router.Action action) {
        if (action instanceof Router.Send order) runner.startAttempt(order);
        else if (action instanceof Router.Cancel order) runner.cancel(order);
        else if (action instanceof Router.Release order) withRequest(order.id(), heldStates::release);
        else if (action instanceof Router.Reclaim order) withRequest(order.id(), heldStates::reclaim);
        else if (action instanceof Router.Refuse refuse) refuse(refuse);
        else if (action instanceof Router.Fail fail) fail(fail.id(), Why.ENGINE, fail.reason());
        else if (action instanceof Router.SetTimer timer) {
            loop.schedule(timer.atMs(), () -> decisions.deliver(new Router.Timer(timer.token())));
        } else if (action instanceof Router.Log line) log.accept(line.text());
        // Subscribe and FetchList need no action, as the list is always watched.
    }

    private void withRequest(long number, Consumer<ActiveRequest> action) {
        ActiveRequest active = registry.find(number);
        if (active != null) action.accept(active);
    }

    private void refuse(Router.Refuse order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null || active.answered) return;
        Reason verdict = ProtocolRules.checkRefusal(active.toRequestState(settings.classes()), 0, loop.nowMs());
        if (verdict != Reason.ALLOWED) {
            monitor.report(RuleMonitor.Breach.REFUSAL_WITHHELD, active.request.id(), verdict.name());
            fail(order.id(), Why.ENGINE, order.reason());
            return;
        }
        registry.claimFinalAnswer(active);
        registry.settle(active);
        counters.count(FinalAnswer.REFUSED);
        counters.count(order.reason());
        failureLog.requestFailed(active, "refused (" + order.reason() + ")");
        active.caller.refuse(Why.OVERLOAD, order.retryAfterMs());
    }

    private void fail(long number, Why reason, Router.EndReason endReason) {
        ActiveRequest active = registry.find(number);
        if (active == null || !registry.claimFinalAnswer(active)) return;
        registry.settle(active);
        counters.count(FinalAnswer.FAILED);
        counters.count(endReason);
        failureLog.requestFailed(active,
                reason == Why.DEADLINE ? "not answered by its deadline" : "failed (" + endReason + ")");
        active.caller.fail(reason);
    }

    /** Fails a request that the module has not answered in time. Guards against a late answer if the module fails. */
    private void onDeadlineMissed(ActiveRequest active) {
        if (active.answered || active.winner != null) return;
        fail(active.number, Why.DEADLINE, Router.EndReason.DEADLINE);
        abandon(active);
    }

    private void onCallerDisconnected(ActiveRequest active) {
        if (!registry.claimFinalAnswer(active)) {
            boolean served = active.winner != null && active.winner.outcome == Router.Outcome.SERVED;
            if (served) failureLog.streamBroken(active, "abandoned by its client before its whole answer was sent");
            return;
        }
        counters.count(FinalAnswer.CLIENT_LEFT);
        failureLog.requestFailed(active, "abandoned by its client");
        abandon(active);
    }

    private void abandon(ActiveRequest active) {
        decisions.deliver(new Router.Abandoned(active.number));
        runner.cancelAll(active);
        registry.settle(active);
    }

    /** Handle of a request that was not admitted. */
    private static final class ClosedHandle implements RequestHandle {
        @Override
        public void cancel() {}

        @Override
        public void writable() {}
    }

    private final class OpenHandle implements RequestHandle {
        private final ActiveRequest active;

        OpenHandle(ActiveRequest active) {
            this.active = active;
        }

        @Override
        public void cancel() {
            Broker.this.onCallerDisconnected(active);
        }

        @Override
        public void writable() {
            relay.writable(active);
        }
    }
}
