package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
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
import maplerail.core.ServiceRequest;
import maplerail.core.EngineTransport;

/** Sends attempts to tool servers: one HTTP POST each, whose reply counts only if it is complete. */
public final class ToolClient implements EngineTransport {
    /** Replaces a reply that is larger than its contract allows; the call has run. */
    public static final String REPLY_TOO_LARGE = "{\"error\":{\"code\":-32004,\"message\":\"the reply is larger than"
            + " its contract allows\",\"data\":{\"outcome\":\"failed\",\"mayHaveRun\":true}}}";
    private static final HttpString ID_HEADER = new HttpString("Req-Id");
    private static final HttpString DEADLINE_HEADER = new HttpString("Req-Deadline");

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Creates a client that takes its connections from a pool. */
    public ToolClient(ConnectionPool pool) {
        this.pool = pool;
        this.loop = pool.loop();
    }

    /** Adds the addresses of tool servers. */
    public void addAddresses(Map<Long, InetSocketAddress> added) {
        addresses.putAll(added);
    }

    @Override
    public AttemptHandle send(long engine, ServiceRequest request, double deadlineMs, BooleanSupplier mayStart,
            AnswerListener listener) {
        ToolPayload payload = (ToolPayload) request.payload();
        InetSocketAddress address = addresses.get(engine);
        ToolResponseHandler handler = new ToolResponseHandler(listener, payload.maxReplyBytes());
        handler.call = pool.start(address, () -> request(address, request.id(), payload, deadlineMs), payload.message(),
                mayStart, handler);
        return new CallHandle(handler.call);
    }

    private ClientRequest request(InetSocketAddress address, String id, ToolPayload payload, double deadlineMs) {
        ClientRequest request = Requests.to(address, Methods.POST, payload.path());
        request.getRequestHeaders().put(ID_HEADER, id);
        double leftSeconds = Math.max(1, deadlineMs - loop.nowMs()) / 1_000;
        request.getRequestHeaders().put(DEADLINE_HEADER, String.format(Locale.ROOT, "%.3f", leftSeconds));
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, payload.message().length);
        return request;
    }

    private static final class ToolResponseHandler implements ResponseHandler {
        private final AnswerListener listener;
        private final int maxReplyBytes;
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private Outcome headOutcome;
        private boolean hasFraming;
        private Call call;

        ToolResponseHandler(AnswerListener listener, int maxReplyBytes) {
            this.listener = listener;
            this.maxReplyBytes = maxReplyBytes;
        }

        @Override
        public void head(int status, HeaderMap headers) {
            // A tool server has no state to hand over, so a call cannot end with 202.
            headOutcome = status == 202 ? Outcome.ERROR : Outcomes.of(status, headers);
            hasFraming = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
        }

        @Override
        public void body(ByteBuffer part) {
            if (headOutcome != Outcome.SERVED) return;
            if (text.size() + part.remaining() > maxReplyBytes) {
                call.abort();
                listener.event(REPLY_TOO_LARGE.getBytes(StandardCharsets.UTF_8));
                listener.ended(Outcome.SERVED, 0);
                return;
            }
            while (part.hasRemaining()) text.write(part.get());
        }

        @Override
        public void end() {
            boolean complete = headOutcome == Outcome.SERVED && hasFraming;
            if (complete) listener.event(text.toByteArray());
            listener.ended(headOutcome == Outcome.SERVED && !complete ? Outcome.RESET : headOutcome, 0);
        }

        @Override
        public void failed(Failure failure) {
            listener.ended(Outcomes.ofFailure(headOutcome, failure), 0);
        }
    }

    /** Reports success at once: tool servers hold nothing for a request that has ended. */
    @Override
    public void release(long engine, String id, double deadlineMs, BooleanSupplier mayRetry,
            Consumer<ReleaseResult> onEnd) {
        onEnd.accept(new ReleaseResult(true, 0, 0));
    }
}
