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
import maplerail.core.EventLoop;
import maplerail.front.ClientListener;
import maplerail.front.RequestThrottle;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;
import org.xnio.IoUtils;

/** Handles the platform's HTTP protocol in front of the broker: the readiness check, and one request per exchange. */
public final class PlatformFront implements HttpHandler {
    /** The largest size of a request's body, in bytes. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    private final Broker broker;
    private final RequestParser parser;
    private final Lifecycle lifecycle;
    private final RequestThrottle throttle;
    /** The longest deadline of all classes; a request may take no longer to arrive, whatever its client asks for. */
    private final double maxDeadlineMs;
    private final PipelinedBytes pipelined = new PipelinedBytes();
    private ClientListener listener;

    /**
     * Creates a front.
     *
     * @param names the names of classes and tenants that clients use
     * @param maxDeadlineMs the longest deadline of all classes
     */
    public PlatformFront(Broker broker, NameTables names, Lifecycle lifecycle, EventLoop loop, double maxDeadlineMs) {
        this.broker = broker;
        this.parser = new RequestParser(names);
        this.lifecycle = lifecycle;
        this.throttle = new RequestThrottle(loop);
        this.maxDeadlineMs = maxDeadlineMs;
    }

    /** Sets the listener that tracks the client connections. */
    public void setListener(ClientListener listener) {
        this.listener = listener;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        listener.onRequestHead(exchange);
        if (throttle.tryHandleNow()) {
            handle(exchange);
            return;
        }
        listener.onQueued(exchange);
        exchange.dispatch(throttle, this::handle);
    }

    private void handle(HttpServerExchange exchange) {
        listener.onDequeued(exchange);
        ServerConnection connection = exchange.getConnection();
        if (lifecycle.phase().isShuttingDown()) exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        HttpAnswer answer = new HttpAnswer(exchange, pipelined, broker.counters());
        if (exchange.getRequestURI().equals("/-/ready")) {
            answer.respond(lifecycle.phase() == Phase.READY ? 200 : 503, "");
        } else if (exchange.getRequestURI().startsWith("/-/")) {
            answer.respond(404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            answer.respond(405, "POST only");
        } else if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            answer.respond(413, "the body is too large");
        } else {
            extendReceiveTimeout(exchange);
            // Chunked bodies are read somewhat beyond the limit: a client cut off within one would not see the answer.
            exchange.setMaxEntitySize(4 * MAX_BODY_BYTES);
            exchange.getRequestReceiver().receiveFullBytes(
                    (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE,
                            () -> submit(received, answer, body)),
                    (failed, error) -> {
                        if (error instanceof RequestTooBigException) answer.respond(413, "the body is too large");
                        else IoUtils.safeClose(connection);
                    });
        }
    }

    private void extendReceiveTimeout(HttpServerExchange exchange) {
        try {
            listener.extendReceiveTimeout(exchange, Math.min(maxDeadlineMs, RequestParser.budgetMs(exchange)));
        } catch (RequestParser.BadRequest e) {
            return; // reported once the body has arrived
        }
    }

    private void submit(HttpServerExchange exchange, HttpAnswer answer, byte[] body) {
        listener.onRequestReceived(exchange);
        if (body.length > MAX_BODY_BYTES) {
            answer.respond(413, "the body is too large");
            return;
        }
        ServiceRequest request;
        try {
            request = parser.parse(exchange, body, listener.earliestSentMs(exchange));
        } catch (RequestParser.BadRequest e) {
            answer.respond(400, e.getMessage());
            return;
        }
        // Guards against clients that keep using a connection which a long stream has kept open: a request taken now
        // may outlast the time left for the shutdown, and a repeat is served by another gateway.
        Reason verdict = ProtocolRules.checkAccept(!lifecycle.phase().acceptsRequests());
        if (verdict != Reason.ALLOWED) {
            broker.counters().count(verdict);
            answer.refuse(Caller.Why.OVERLOAD, 0);
            return;
        }
        // A client that has already left must be detected before its request is served.
        answer.watchForDisconnect();
        if (!answer.isFinished()) answer.setHandle(broker.submit(request, answer));
    }
}
