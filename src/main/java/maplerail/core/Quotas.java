package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import maplerail.core.Caller.Why;
import maplerail.core.ClientMemory.Kind;

/**
 * Second stage: enforces contracts and budgets before anything is decided or sent. Brokers of several services may
 * share an instance, as a team's budget covers all of them.
 */
public final class Quotas {
    private static final double BURST_MS = 1_000; // a team may use its rate for this time at once
    private static final double IN_FLIGHT_RETRY_MS = 100; // retry advice when too many requests are in flight
    private static final double LAG_CHECK_INTERVAL_MS = 20;
    private static final double MAX_LAG_MS = 150; // no new requests are admitted from this lag of the loop
    private static final double LAG_RETRY_MS = 500; // retry advice when the loop lags
    private static final double MEMORY_RETRY_MS = 500; // retry advice when memory is short

    private final Budgets budgets;
    private final EventLoop loop;
    private final Consumer<String> log;
    private final ClientMemory memory;
    private final Map<Integer, Account> accounts = new HashMap<>();
    private int openRequests;
    private boolean checkingLag;
    private double lagMs;

    private static final class Account {
        double tokens;
        double refilledMs;
        int inFlight;
    }

    /** Why a request is not admitted, and after how long it may be retried. */
    record Denial(Why reason, double retryAfterMs) {}

    /** Creates quotas for these budgets, with no limit on memory. */
    public Quotas(Budgets budgets, EventLoop loop, Consumer<String> log) {
        this(budgets, loop, log, ClientMemory.unlimited(loop));
    }

    /**
     * Creates quotas for these budgets. Logs when the loop lags too far to admit new requests.
     *
     * @param memory counts what is held for clients
     */
    public Quotas(Budgets budgets, EventLoop loop, Consumer<String> log, ClientMemory memory) {
        this.memory = memory;
        this.budgets = budgets;
        this.loop = loop;
        this.log = log;
    }

    /** Admits a request, which then counts as in flight until {@link #onRequestClosed}, or returns why it is denied. */
    Denial admit(ServiceRequest request) {
        if (request.kind() < budgets.contracts().size()
                && request.payloadBytes() > budgets.contracts().get(request.kind()).maxBytes()) {
            return new Denial(Why.INVALID, 0);
        }
        if (lagMs >= MAX_LAG_MS) return new Denial(Why.OVERLOAD, LAG_RETRY_MS);
        if (openRequests >= budgets.maxOpen()) return new Denial(Why.OVERLOAD, IN_FLIGHT_RETRY_MS);
        if (!memory.hasRoomFor(request.payloadBytes())) return new Denial(Why.OVERLOAD, MEMORY_RETRY_MS);
        if (request.tenant() < budgets.teams().size()) {
            Denial denial = charge(budgets.teams().get(request.tenant()), accountOf(request.tenant()));
            if (denial != null) return denial;
        }
        memory.add(Kind.OPEN_REQUEST, request.payloadBytes());
        openRequests++;
        if (!checkingLag) checkLag(0);
        return null;
    }

    /**
     * Measures how late timers run while requests are open. Guards against more load than a newly started program can
     * handle: further requests would wait past their deadlines, and states that engines hold would be released too
     * late.
     */
    private void checkLag(double measuredLagMs) {
        lagMs = measuredLagMs;
        if (measuredLagMs >= MAX_LAG_MS)
            log.accept("event loop behind by " + Math.round(measuredLagMs) + " ms; requests open: " + openRequests);
        checkingLag = openRequests > 0;
        double dueMs = loop.nowMs() + LAG_CHECK_INTERVAL_MS;
        if (checkingLag) loop.schedule(dueMs, () -> checkLag(loop.nowMs() - dueMs));
        else lagMs = 0;
    }

    private Denial charge(Budgets.Budget budget, Account account) {
        if (account.inFlight >= budget.maxInFlight()) return new Denial(Why.BUDGET, IN_FLIGHT_RETRY_MS);
        double burst = Math.max(1, budget.callsPerSecond() * BURST_MS / 1_000);
        double nowMs = loop.nowMs();
        account.tokens = Math.min(burst,
                account.tokens + (nowMs - account.refilledMs) * budget.callsPerSecond() / 1_000);
        account.refilledMs = nowMs;
        if (account.tokens < 1) return new Denial(Why.BUDGET, (1 - account.tokens) * 1_000 / budget.callsPerSecond());
        account.tokens -= 1;
        account.inFlight++;
        return null;
    }

    /** Records that the payload of an admitted request is no longer held. */
    void onPayloadDiscarded(ServiceRequest request) {
        memory.add(Kind.OPEN_REQUEST, -request.payloadBytes());
    }

    void onRequestClosed(ServiceRequest request) {
        openRequests--;
        if (request.tenant() < budgets.teams().size()) accountOf(request.tenant()).inFlight--;
    }

    private Account accountOf(int tenant) {
        return accounts.computeIfAbsent(tenant, id -> {
            Account account = new Account();
            account.tokens = Double.MAX_VALUE;
            account.refilledMs = loop.nowMs();
            return account;
        });
    }
}
