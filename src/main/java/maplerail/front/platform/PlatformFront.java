package maplerail.front.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import maplerail.config.NameTables;
import maplerail.core.ServiceRequest;
import maplerail.core.Broker;
import maplerail.core.Caller;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.core.Loop;
import maplerail.front.ClientListener;
import maplerail.front.RequestTurns;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;
import org.xnio.IoUtils;

/** The platform's protocol before the broker: readiness, and one request for each exchange. */
public final class PlatformFront implements HttpHandler {
    /** The most bytes that a request's body may hold. */
    public static final int MOST_BYTES = 256 * 1024;

    private final Broker broker;
    private final RequestReader reader;
    private final Lifecycle lifecycle;
    private final RequestTurns turns;
    /** Of all classes: for which a request may arrive at most, whatever its client says that it waits. */
    private final double longestDeadlineMs;
    private final EarlyBytes early = new EarlyBytes();
    private ClientListener listener;

    /** Makes a front for clients that name classes and tenants so, and wait for so long at most. */
    public PlatformFront(Broker broker, NameTables names, Lifecycle lifecycle, Loop loop, double longestDeadlineMs) {
        this.broker = broker;
        this.reader = new RequestReader(names);
        this.lifecycle = lifecycle;
        this.turns = new RequestTurns(loop);
        this.longestDeadlineMs = longestDeadlineMs;
    }

    /** Tells through which listener the clients come. */
    public void setListener(ClientListener in) {
        listener = in;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        listener.entered(exchange);
        if (turns.handleNow()) {
            handle(exchange);
            return;
        }
        listener.waits(exchange);
        exchange.dispatch(turns, this::handle);
    }

    private void handle(HttpServerExchange exchange) {
        listener.turnCame(exchange);
        ServerConnection connection = exchange.getConnection();
        if (lifecycle.phase().isShuttingDown()) exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        Answer answer = new Answer(exchange, early, broker.counters());
        if (exchange.getRequestURI().equals("/-/ready")) {
            answer.say(lifecycle.phase() == Phase.READY ? 200 : 503, "");
        } else if (exchange.getRequestURI().startsWith("/-/")) {
            answer.say(404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            answer.say(405, "POST only");
        } else if (exchange.getRequestContentLength() > MOST_BYTES) {
            exchange.setPersistent(false);
            answer.say(413, "the body is too large");
        } else {
            expectBody(exchange);
            // A body in chunks is read somewhat further: ended in the middle, its client would not see the answer.
            exchange.setMaxEntitySize(4 * MOST_BYTES);
            exchange.getRequestReceiver().receiveFullBytes(
                    (whole, body) -> whole.dispatch(SameThreadExecutor.INSTANCE, () -> take(whole, answer, body)),
                    (broken, error) -> {
                        if (error instanceof RequestTooBigException) answer.say(413, "the body is too large");
                        else IoUtils.safeClose(connection);
                    });
        }
    }

    private void expectBody(HttpServerExchange exchange) {
        try {
            listener.arriving(exchange, Math.min(longestDeadlineMs, RequestReader.budgetMs(exchange)));
        } catch (RequestReader.BadRequest e) {
            return; // told once the body is there
        }
    }

    private void take(HttpServerExchange exchange, Answer answer, byte[] body) {
        listener.open(exchange);
        if (body.length > MOST_BYTES) {
            answer.say(413, "the body is too large");
            return;
        }
        ServiceRequest request;
        try {
            request = reader.read(exchange, body, listener.sentMs(exchange));
        } catch (RequestReader.BadRequest e) {
            answer.say(400, e.getMessage());
            return;
        }
        // Guards against clients that go on using a connection which a long stream kept open: what is taken now may
        // outlast the time that is left to end it, and a repeat is served by another gateway.
        Reason verdict = ProtocolRules.checkAccept(!lifecycle.phase().acceptsRequests());
        if (verdict != Reason.ALLOWED) {
            broker.counters().count(verdict);
            answer.refuse(Caller.Why.OVERLOAD, 0);
            return;
        }
        // Whoever sent a request and left again must not be served before anybody looks.
        answer.watch();
        if (!answer.over()) answer.hold(broker.submit(request, answer));
    }
}
