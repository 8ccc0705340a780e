package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.core.EngineTransport.ReleaseResult;
import maplerail.core.EventLoop;

/**
 * A release, which may be sent any number of times without harm. The time limit for its arrival keeps running while an
 * idle connection is silent or a new one is still being established. A try that is not answered soon is therefore
 * followed by another on a new connection while the earlier one is still in flight; the first response ends them all.
 */
final class ReleaseCall {
    /** Delay from the first try to the second: several times what a response usually takes. */
    private static final double INITIAL_HEDGE_DELAY_MS = 60;
    /** Factor by which the delay grows with each further try. */
    private static final double HEDGE_DELAY_FACTOR = 2;
    /** Delay after a failed try while no other is in flight. */
    private static final double RETRY_DELAY_MS = 30;
    private static final int MAX_IN_FLIGHT = 3;
    /** Longest time from the head of a response to its end; a longer body is not worth the connection. */
    private static final double MAX_BODY_MS = 1_000;

    private final ConnectionPool pool;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String target;
    private final double deadlineMs;
    private final BooleanSupplier mayRetry;
    private final Consumer<ReleaseResult> onEnd;
    private final double startMs;
    /** Tries in flight, oldest first. */
    private final Set<Call> inFlight = new LinkedHashSet<>();
    private EventLoop.ScheduledTask nextTry;
    private double hedgeDelayMs = INITIAL_HEDGE_DELAY_MS;
    private int tries;
    private boolean done;

    ReleaseCall(ConnectionPool pool, InetSocketAddress address, String id, double deadlineMs,
            BooleanSupplier mayRetry, Consumer<ReleaseResult> onEnd) {
        this.pool = pool;
        this.loop = pool.loop();
        this.address = address;
        this.target = "/internal/reservations/" + id;
        this.deadlineMs = deadlineMs;
        this.mayRetry = mayRetry;
        this.onEnd = onEnd;
        this.startMs = loop.nowMs();
    }

    /** Sends the first try; further tries are scheduled from there. */
    void start() {
        startTry();
    }

    private void startTry() {
        if (done) return;
        if (tries > 0 && (loop.nowMs() >= deadlineMs || !mayRetry.getAsBoolean())) {
            finish(false);
            return;
        }
        // The oldest try has had its time: a connection that stopped responding, for example in a network partition
        // that has ended since, does not recover.
        if (inFlight.size() >= MAX_IN_FLIGHT) abortOldest();
        sendRequest();
        nextTry = loop.schedule(loop.nowMs() + hedgeDelayMs, this::startTry);
        hedgeDelayMs *= HEDGE_DELAY_FACTOR;
    }

    private void sendRequest() {
        ClientRequest request = Requests.to(address, Methods.DELETE, target);
        TryHandler handler = new TryHandler();
        // A try without a response may have been lost on a connection that stopped responding; other idle connections
        // to the engine may be in the same state.
        handler.call = tries++ == 0 ? pool.start(address, request, new byte[0], handler)
                : pool.startOnNewConnection(address, request, new byte[0], handler);
        inFlight.add(handler.call);
    }

    private void abortOldest() {
        Call oldest = inFlight.iterator().next();
        inFlight.remove(oldest);
        oldest.abort();
    }

    private void onFailed(Call call) {
        inFlight.remove(call);
        if (done || !inFlight.isEmpty()) return;
        nextTry.cancel();
        nextTry = loop.schedule(loop.nowMs() + RETRY_DELAY_MS, this::startTry);
    }

    /**
     * Handles the head of a response. The call is not aborted but read to its end, so that its connection can be
     * reused, unless that end does not come.
     */
    private void onAnswered(Call call) {
        if (done) return;
        loop.schedule(loop.nowMs() + MAX_BODY_MS, call::abort);
        inFlight.remove(call);
        finish(true);
    }

    private void finish(boolean answered) {
        done = true;
        nextTry.cancel();
        Set.copyOf(inFlight).forEach(Call::abort);
        inFlight.clear();
        onEnd.accept(new ReleaseResult(answered, tries, loop.nowMs() - startMs));
    }

    /** Handles the response to one try. */
    private final class TryHandler implements ResponseHandler {
        private Call call;

        @Override
        public void head(int status, HeaderMap headers) {
            onAnswered(call);
        }

        @Override
        public void body(ByteBuffer part) {}

        @Override
        public void end() {}

        @Override
        public void failed(Failure failure) {
            ReleaseCall.this.onFailed(call);
        }
    }
}
