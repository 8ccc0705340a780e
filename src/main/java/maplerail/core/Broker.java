package maplerail.core;

import java.util.function.Consumer;
import maplerail.Router;
import maplerail.core.Caller.Why;

/**
 * Drives one decision module on one event loop. A request passes the stages admission, quotas, route, send,
 * relay and registry; the broker knows requests, attempts and outcomes and no wire. All calls are made on the loop.
 */
public final class Broker {
    private static final double GUARD_MS = 4; // past a deadline; the module answers before it

    private final Loop loop;
    private final Fleet fleet;
    private final RequestRegistry registry;
    private final Admission admission;
    private final Quotas quotas;
    private final Route route;
    private final AttemptRunner runner;
    private final Relay relay;
    private final FailureLog failureLog;
    private final Consumer<String> log;

    /** Makes a broker round a module that has just come up with these settings. */
    public Broker(Router router, Router.Settings settings, Quotas quotas, Loop loop, Engines engines,
            Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        fleet = new Fleet(settings.kinds());
        this.quotas = quotas;
        registry = new RequestRegistry(engines, loop, quotas, settings.rules().pinLimitMs());
        admission = new Admission(loop, registry);
        failureLog = new FailureLog(loop, log);
        relay = new Relay(registry, loop, failureLog);
        runner = new AttemptRunner(engines, loop, fleet, registry, relay, settings.limits().maxAttempts());
        route = new Route(router, loop, this::perform, runner::settle, log);
        runner.use(route, this::gone);
    }

    /** Takes a request; its caller gets its one final answer in any case. */
    public RequestHandle take(ServiceRequest request, Caller caller) {
        ActiveRequest active = admission.take(request, caller);
        if (active == null) {
            caller.fail(Why.DUPLICATE);
            return new Closed();
        }
        Quotas.Denied denied = quotas.check(request);
        if (denied != null) {
            registry.answer(active);
            registry.settle(active);
            failureLog.bad(active, "not admitted (" + denied.why() + ")");
            caller.refuse(denied.why(), denied.retryAfterMs());
            return new Closed();
        }
        active.admitted = true;
        active.guard = loop.at(active.deadlineMs + GUARD_MS, () -> overdue(active));
        route.tell(new Router.Arrival(active.number, request.kind(), request.tenant(), request.session(),
                request.promptTokens(),
                request.prefix(), request.prefixTokens(), request.budgetMs(), request.maxOutput(), request.hintMs(),
                request.resumed()));
        return new Open(active);
    }

    /** News of the engines; what has not gone out yet obeys it too. */
    public void members(Router.Members news) {
        fleet.hear(news);
        route.tell(news);
        runner.withdrawUnsent();
    }

    /** Requests that still wait for their final answer. */
    public int unanswered() {
        return registry.unanswered();
    }

    /** Requests of which anything is still remembered. */
    public int remembered() {
        return registry.size();
    }

    private void perform(Router.Action action) {
        if (action instanceof Router.Send order) runner.attempt(order);
        else if (action instanceof Router.Cancel order) runner.cancel(order);
        else if (action instanceof Router.Release order) release(order.id());
        else if (action instanceof Router.Refuse refuse) refuse(refuse);
        else if (action instanceof Router.Fail fail) fail(fail.id(), Why.ENGINE);
        else if (action instanceof Router.SetTimer timer) {
            loop.at(timer.atMs(), () -> route.tell(new Router.Timer(timer.token())));
        } else if (action instanceof Router.Log line) log.accept(line.text());
        // Subscribe and FetchList need nothing: the list is always watched.
    }

    private void release(long number) {
        ActiveRequest active = registry.find(number);
        if (active != null) registry.release(active);
    }

    private void refuse(Router.Refuse order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null || !registry.answer(active)) return;
        registry.settle(active);
        failureLog.bad(active, "refused");
        active.caller.refuse(Why.OVERLOAD, order.retryAfterMs());
    }

    private void fail(long number, Why why) {
        ActiveRequest active = registry.find(number);
        if (active == null || !registry.answer(active)) return;
        registry.settle(active);
        failureLog.bad(active, why == Why.DEADLINE ? "not answered by its deadline" : "failed");
        active.caller.fail(why);
    }

    /** The module gave no answer in time: nothing may be late for want of one. */
    private void overdue(ActiveRequest active) {
        if (active.answered || active.winner != null) return;
        fail(active.number, Why.DEADLINE);
        leave(active);
    }

    private void gone(ActiveRequest active) {
        if (registry.answer(active)) leave(active);
    }

    private void leave(ActiveRequest active) {
        route.tell(new Router.Abandoned(active.number));
        runner.cutAll(active);
        registry.settle(active);
    }

    /** A request that was never open, or no longer is. */
    private static final class Closed implements RequestHandle {
        @Override
        public void gone() {}

        @Override
        public void writable() {}
    }

    private final class Open implements RequestHandle {
        private final ActiveRequest active;

        Open(ActiveRequest active) {
            this.active = active;
        }

        @Override
        public void gone() {
            Broker.this.gone(active);
        }

        @Override
        public void writable() {
            relay.writable(active);
        }
    }
}
