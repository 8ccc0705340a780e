package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import maplerail.core.EngineTransport.ReleaseResult;
import maplerail.core.Loop;

/**
 * One release, which may be made any number of times. The time in which it has to arrive runs while a kept connection is
 * silent and while a new one does not come up, so a try that is not answered soon is followed by one on a further new
 * connection while it is still out; the first answer ends them all.
 */
final class ReleaseCall {
    private static final double FIRST_HEDGE_MS = 60; // after the first try; several times what an answer takes
    private static final double HEDGE_GROWTH = 2; // of that time with each further try
    private static final double AGAIN_MS = 30; // after a try that failed while no other is out
    private static final int MOST_OUT = 3;

    private final ConnectionPool pool;
    private final Loop loop;
    private final InetSocketAddress to;
    private final String target;
    private final double untilMs;
    private final Consumer<ReleaseResult> ended;
    private final double startMs;
    /** Oldest first. */
    private final Set<Call> out = new LinkedHashSet<>();
    private Loop.ScheduledTask next;
    private double hedgeMs = FIRST_HEDGE_MS;
    private int tries;
    private boolean done;

    ReleaseCall(ConnectionPool pool, InetSocketAddress to, String id, double untilMs, Consumer<ReleaseResult> ended) {
        this.pool = pool;
        this.loop = pool.loop();
        this.to = to;
        this.target = "/internal/reservations/" + id;
        this.untilMs = untilMs;
        this.ended = ended;
        this.startMs = loop.nowMs();
    }

    /** Makes the first try; what follows comes by itself. */
    void start() {
        attempt();
    }

    private void attempt() {
        if (done) return;
        if (loop.nowMs() >= untilMs && tries > 0) {
            finish(false);
            return;
        }
        // The oldest has had its time: a connection that fell silent, as in a cut that is over by now, stays so.
        if (out.size() >= MOST_OUT) giveUpOldest();
        send();
        next = loop.schedule(loop.nowMs() + hedgeMs, this::attempt);
        hedgeMs *= HEDGE_GROWTH;
    }

    private void send() {
        ClientRequest request = Requests.to(to, Methods.DELETE, target);
        Try reply = new Try();
        // What was not answered may have been lost on a connection that fell silent, as others to the engine may be.
        reply.call = tries++ == 0 ? pool.start(to, request, new byte[0], reply)
                : pool.startOnNewConnection(to, request, new byte[0], reply);
        out.add(reply.call);
    }

    private void giveUpOldest() {
        Call oldest = out.iterator().next();
        out.remove(oldest);
        oldest.abort();
    }

    private void failed(Call call) {
        out.remove(call);
        if (done || !out.isEmpty()) return;
        next.cancel();
        next = loop.schedule(loop.nowMs() + AGAIN_MS, this::attempt);
    }

    /** An answer has begun: it stays to be read to its end, so that its connection can be kept. */
    private void answered(Call call) {
        if (done) return;
        out.remove(call);
        finish(true);
    }

    private void finish(boolean answered) {
        done = true;
        next.cancel();
        Set.copyOf(out).forEach(Call::abort);
        out.clear();
        ended.accept(new ReleaseResult(answered, tries, loop.nowMs() - startMs));
    }

    /** The answer to one try. */
    private final class Try implements ResponseHandler {
        private Call call;

        @Override
        public void head(int status, HeaderMap headers) {
            answered(call);
        }

        @Override
        public void body(ByteBuffer piece) {}

        @Override
        public void end() {}

        @Override
        public void failed(Failure failure) {
            ReleaseCall.this.failed(call);
        }
    }
}
