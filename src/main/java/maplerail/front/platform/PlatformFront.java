package maplerail.front.platform;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import maplerail.config.NameTables;
import maplerail.core.ServiceRequest;
import maplerail.core.Broker;
import maplerail.core.Caller;
import maplerail.core.ClientMemory;
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
    private static final double YIELD_RETRY_MS = 500; // retry advice for a request that had to yield its memory

    /** What became of a request that was sent behind another one. */
    private enum Pipelined {
        NOT_KEPT
    }

    private final Broker broker;
    private final RequestParser parser;
    private final Lifecycle lifecycle;
    private final EventLoop loop;
    private final ClientMemory memory;
    private final RequestThrottle throttle;
    /** The longest deadline of all classes; a request may take no longer to arrive, whatever its client asks for. */
    private final double maxDeadlineMs;
    private final DroppedReadPacer pacer = new DroppedReadPacer();
    private final Map<HttpServerConnection, PipelinedRequests> pipelinedByConnection = new HashMap<>();
    private ClientListener listener;

    /**
     * Creates a front.
     *
     * @param names the names of classes and tenants that clients use
     * @param memory counts what is held for clients
     * @param maxDeadlineMs the longest deadline of all classes
     */
    public PlatformFront(Broker broker, NameTables names, Lifecycle lifecycle, EventLoop loop,
            ClientMemory memory, double maxDeadlineMs) {
        this.broker = broker;
        this.parser = new RequestParser(names);
        this.lifecycle = lifecycle;
        this.loop = loop;
        this.memory = memory;
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
        PipelinedRequests pipelined = pipelined((HttpServerConnection) exchange.getConnection());
        pipelined.recount();
        exchange.addExchangeCompleteListener((completed, proceed) -> {
            pipelined.onRequestAnswered();
            proceed.proceed();
        });
        if (throttle.tryHandleNow()) {
            handle(exchange, pipelined);
            return;
        }
        listener.onQueued(exchange);
        exchange.dispatch(throttle, queued -> handle(queued, pipelined));
    }

    private PipelinedRequests pipelined(HttpServerConnection connection) {
        return pipelinedByConnection.computeIfAbsent(connection, added -> {
            PipelinedRequests pipelined = new PipelinedRequests(added, memory,
                    bytes -> listener.onBytesDropped(added, bytes));
            added.addCloseListener(closed -> {
                pipelined.onClosed();
                pipelinedByConnection.remove(added);
            });
            return pipelined;
        });
    }

    private void handle(HttpServerExchange exchange, PipelinedRequests pipelined) {
        listener.onDequeued(exchange);
        HttpAnswer answer = new HttpAnswer(exchange, pipelined, pacer, loop, broker.counters(), memory,
                () -> lifecycle.phase().isShuttingDown());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (pipelined.isPlaceholder()) refuseNotKept(exchange, pipelined, answer);
            else new IncomingRequest(exchange, answer, pipelined).start();
        });
    }

    /** Refuses a request that was not kept, once it has arrived. */
    private void refuseNotKept(HttpServerExchange exchange, PipelinedRequests pipelined, HttpAnswer answer) {
        pipelined.whenRequestHasArrived(() -> {
            if (pipelined.mustCloseAfterwards()) exchange.setPersistent(false);
            broker.counters().count(Pipelined.NOT_KEPT);
            answer.refuse(Caller.Why.OVERLOAD, YIELD_RETRY_MS);
        });
        if (!answer.isFinished()) answer.watchForDisconnect();
    }

    /** A request whose body arrives. It is submitted once it is complete, unless it is answered before. */
    private final class IncomingRequest implements BodyReader.Listener {
        private final HttpServerExchange exchange;
        private final HttpAnswer answer;
        private final PipelinedRequests pipelined;
        private final BodyReader body;
        /**
         * Follows a chunked body; null for any other. The server takes some chunk sizes that it can't read for 0, and
         * closes the connection at others, with bytes unread.
         */
        private RequestFraming chunkFraming;

        IncomingRequest(HttpServerExchange exchange, HttpAnswer answer, PipelinedRequests pipelined) {
            this.exchange = exchange;
            this.answer = answer;
            this.pipelined = pipelined;
            this.body = new BodyReader(exchange, loop, memory, MAX_BODY_BYTES, this);
        }

        void start() {
            listener.setRequestEndAction(exchange, body::close);
            if (exchange.getRequestURI().equals("/-/ready")) {
                answerNow(lifecycle.phase() == Phase.READY ? 200 : 503, "");
            } else if (exchange.getRequestURI().startsWith("/-/")) {
                answerNow(404, "no such path");
            } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
                answerNow(405, "POST only");
            } else if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
                tooLarge();
            } else {
                extendReceiveTimeout();
                if (exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) followChunks();
                if (isMalformed()) malformed();
                else body.start();
            }
        }

        private void followChunks() {
            chunkFraming = RequestFraming.ofChunkedBody();
            PooledByteBuffer alreadyRead = ((HttpServerConnection) exchange.getConnection()).getExtraBytes();
            if (alreadyRead != null && !acceptChunks(alreadyRead.getBuffer().duplicate())) pipelined.discard();
            listener.setInputTap(exchange, this::acceptChunks);
        }

        private boolean acceptChunks(ByteBuffer bytes) {
            chunkFraming.read(bytes);
            return !isMalformed();
        }

        private void extendReceiveTimeout() {
            try {
                listener.extendReceiveTimeout(exchange, Math.min(maxDeadlineMs, RequestParser.budgetMs(exchange)));
            } catch (RequestParser.BadRequest e) {
                return; // reported once the first bytes of the body have been read
            }
        }

        private ServiceRequest parse(byte[] bodyBytes) throws RequestParser.BadRequest {
            return parser.parse(exchange, bodyBytes, listener.earliestSentMs(exchange));
        }

        private void answerNow(int status, String message) {
            discardRest();
            answer.respond(status, message);
        }

        /** Discards what is still to come of the request, so that its client gets the answer although it is sending. */
        private void discardRest() {
            if (exchange.isRequestComplete()) return;
            exchange.setPersistent(false);
            listener.onRejected(exchange);
            body.reject();
        }

        @Override
        public void incomplete() {
            try {
                parse(new byte[0]);
            } catch (RequestParser.BadRequest e) {
                answerNow(400, e.getMessage());
            }
        }

        @Override
        public boolean isMalformed() {
            return chunkFraming != null && chunkFraming.completeBytes() == 0 && chunkFraming.isUnreadable();
        }

        @Override
        public void malformed() {
            answerNow(400, "the chunks of the body are invalid");
        }

        @Override
        public void tooLarge() {
            answerNow(413, "the body is too large");
        }

        @Override
        public void yielded() {
            discardRest();
            answer.refuse(Caller.Why.OVERLOAD, YIELD_RETRY_MS);
        }

        @Override
        public void failed() {
            IoUtils.safeClose(exchange.getConnection());
        }

        @Override
        public void received(byte[] bodyBytes) {
            listener.onRequestReceived(exchange);
            if (chunkFraming != null && chunkFraming.completeBytes() == 0) {
                exchange.setPersistent(false);
                answer.respond(400, "the chunks of the body are invalid");
                return;
            }
            ServiceRequest request;
            try {
                request = parse(bodyBytes);
            } catch (RequestParser.BadRequest e) {
                answer.respond(400, e.getMessage());
                return;
            }
            submit(request);
        }

        private void submit(ServiceRequest request) {
            // Guards against clients that keep using a connection which a long stream has kept open: a request taken now
            // may outlast the time left for the shutdown, and a repeat is served by another gateway.
            Reason verdict = ProtocolRules.checkAccept(!lifecycle.phase().acceptsRequests());
            if (verdict != Reason.ALLOWED) {
                broker.counters().count(verdict);
                answer.refuse(Caller.Why.OVERLOAD, 0);
                return;
            }
            // A client that has already left must be detected before its request is served.
            Reason clientReason = ProtocolRules.checkClient(answer.watchForDisconnect());
            if (clientReason == Reason.ALLOWED) {
                answer.setHandle(broker.submit(request, answer));
            } else if (!answer.isFinished()) {
                broker.counters().count(clientReason);
                answer.refuse(Caller.Why.OVERLOAD, YIELD_RETRY_MS);
            }
        }
    }
}
