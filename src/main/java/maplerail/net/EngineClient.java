package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router.Outcome;
import maplerail.config.ConfigException;
import maplerail.config.JsonValue;
import maplerail.core.ServiceRequest;
import maplerail.core.ClientMemory;
import maplerail.core.EngineTransport;
import maplerail.policy.AnswerLimits;

/** Sends attempts and releases to engines over the HTTP protocol of the platform. */
public final class EngineClient implements EngineTransport {
    private static final HttpString DEADLINE_HEADER = new HttpString("Req-Deadline");
    /** Limits the body of a response that is not a stream; the rest is discarded. */
    private static final int MAX_TEXT_BYTES = 64 * 1024;
    /** Longest time from the head of a reader's response to its end; the body is sent along with the head. */
    private static final double READ_BODY_TIMEOUT_MS = 100;
    /**
     * Quiet time after a stream before its connection is used again. It allows for a lost packet of a second stream, which
     * the operating system retransmits after 200 ms.
     */
    private static final double QUIET_AFTER_STREAM_MS = 250;

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private final ClientMemory memory;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Creates a client that takes its connections from a pool and counts what it holds of unfinished events. */
    public EngineClient(ConnectionPool pool, ClientMemory memory) {
        this.pool = pool;
        this.loop = pool.loop();
        this.memory = memory;
    }

    /** Adds the addresses of engines. An engine that left the list keeps its address, as it may still hold a state. */
    public void addAddresses(Map<Long, InetSocketAddress> added) {
        addresses.putAll(added);
    }

    @Override
    public AttemptHandle send(long engine, ServiceRequest request, double deadlineMs, BooleanSupplier mayStart,
            AnswerListener listener) {
        HttpPayload payload = (HttpPayload) request.payload();
        InetSocketAddress address = addresses.get(engine);
        EngineResponseHandler handler = new EngineResponseHandler(listener,
                AnswerLimits.of(request.maxOutputTokens()));
        byte[] body = payload.body();
        handler.call = pool.start(address, () -> request(address, payload, body.length, deadlineMs), body, mayStart,
                handler);
        return new CallHandle(handler.call);
    }

    /** Builds the request as it is written now: its deadline header holds the time that is left. */
    private ClientRequest request(InetSocketAddress address, HttpPayload payload, int bodyBytes, double deadlineMs) {
        ClientRequest request = Requests.to(address, payload.method(), payload.target());
        for (Map.Entry<HttpString, String> header : payload.headers()) {
            request.getRequestHeaders().add(header.getKey(), header.getValue());
        }
        double leftSeconds = Math.max(1, deadlineMs - loop.nowMs()) / 1_000;
        request.getRequestHeaders().put(DEADLINE_HEADER, String.format(Locale.ROOT, "%.3f", leftSeconds));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, bodyBytes);
        return request;
    }

    /** Maps the response of an engine to the outcome of an attempt. */
    private final class EngineResponseHandler
            implements ResponseHandler, EventSplitter.Sink, ClientMemory.UnfinishedEvent {
        private final AnswerListener listener;
        private final AnswerLimits limits;
        private Call call;
        private boolean ended;
        private boolean yielded;
        private final EventSplitter events;
        private final ByteArrayOutputStream textBody = new ByteArrayOutputStream();
        private Outcome headOutcome;
        /** False if the end of the response does not prove that the answer is complete. */
        private boolean endIsProof;
        private boolean invalidRequest;

        EngineResponseHandler(AnswerListener listener, AnswerLimits limits) {
            this.listener = listener;
            this.limits = limits;
            this.events = new EventSplitter(limits.chunkEvents());
        }

        @Override
        public int maxChunkBytes() {
            return limits.chunkBytes();
        }

        @Override
        public double quietMs() {
            return headOutcome == Outcome.SERVED ? QUIET_AFTER_STREAM_MS : DEFAULT_QUIET_MS;
        }

        @Override
        public void chunkEnd() {
            events.endChunk();
        }

        @Override
        public void events(byte[] complete) {
            listener.event(complete);
        }

        @Override
        public void comments(byte[] comments) {
            listener.comment(comments);
        }

        @Override
        public void head(int status, HeaderMap headers) {
            headOutcome = Outcomes.of(status, headers);
            invalidRequest = Outcomes.isInvalidRequest(status);
            // Without framing, the response ends with its connection, whatever ended that.
            endIsProof = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
            if (headOutcome == Outcome.READ)
                loop.schedule(loop.nowMs() + READ_BODY_TIMEOUT_MS, () -> loop.runAfterInput(this::endReadWithoutBody));
        }

        /**
         * Ends a read without waiting any longer for the body. The head has already confirmed that a state is held, and
         * the pin limit of the state is running; the body only reports how much of the prompt was cached.
         */
        private void endReadWithoutBody() {
            if (ended) return;
            call.abort();
            finish(Outcome.READ, Double.NaN);
        }

        private void finish(Outcome outcome, double cachedTokens) {
            ended = true;
            listener.ended(outcome, cachedTokens);
        }

        @Override
        public void body(ByteBuffer part) {
            if (headOutcome == Outcome.SERVED) {
                feedEvents(part);
            } else if (textBody.size() < MAX_TEXT_BYTES) {
                while (part.hasRemaining()) textBody.write(part.get());
            }
        }

        private void feedEvents(ByteBuffer part) {
            boolean valid = events.feed(part, this);
            if (call.done()) return;
            if (!valid) {
                abortStream("not a stream of events");
                return;
            }
            if (!yielded) memory.setUnfinishedEvent(this, events.unfinishedBytes());
            if (events.textArrived()) listener.textArrived(events.unfinishedBytes());
            if (events.lastEventArrived()) listener.lastEvent();
        }

        /** Breaks the stream, but not while another call is being handled. */
        @Override
        public void yieldMemory() {
            yielded = true;
            loop.execute(() -> {
                if (!call.done()) abortStream("an unfinished event had to yield its memory");
            });
        }

        @Override
        public void closed() {
            if (!yielded) memory.setUnfinishedEvent(this, 0);
            events.discard();
        }

        private void abortStream(String flaw) {
            call.abort();
            call.recordFlaw(flaw);
            finish(Outcome.RESET, 0);
        }

        @Override
        public void end() {
            if (ended) return;
            ended = true;
            if (invalidRequest) {
                listener.rejected();
                return;
            }
            if (headOutcome == Outcome.SERVED) endStream();
            else finish(headOutcome, cachedTokens());
        }

        /** Ends a stream. It is complete only if both its framing and its last event say so. */
        private void endStream() {
            boolean whole = endIsProof && events.isWhole();
            if (!whole) call.recordFlaw("ended without its last event");
            if (whole && events.remainder().length > 0) listener.event(events.remainder());
            finish(whole ? Outcome.SERVED : Outcome.RESET, 0);
        }

        private double cachedTokens() {
            if (headOutcome != Outcome.READ) return 0;
            try {
                return JsonValue.parse("read", textBody.toString(StandardCharsets.UTF_8)).at("cached_tokens").number(0);
            } catch (ConfigException e) {
                return 0;
            }
        }

        @Override
        public void failed(Failure failure) {
            finish(Outcomes.ofFailure(headOutcome, failure), 0);
        }
    }

    @Override
    public void release(long engine, String id, double deadlineMs, BooleanSupplier mayRetry,
            Consumer<ReleaseResult> onEnd) {
        InetSocketAddress address = addresses.get(engine);
        if (address != null) new ReleaseCall(pool, address, id, deadlineMs, mayRetry, onEnd).start();
        else onEnd.accept(new ReleaseResult(false, 0, 0));
    }
}
