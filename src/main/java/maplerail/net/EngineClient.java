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
import maplerail.core.EngineTransport;

/** Attempts and releases on the platform's wire. */
public final class EngineClient implements EngineTransport {
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final int MOST_READ = 64 * 1024; // of an answer that is no stream
    private static final double READ_BODY_MS = 100; // after the head of a reader's answer, which comes with its body

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Makes a client that opens its connections from a pool. */
    public EngineClient(ConnectionPool pool) {
        this.pool = pool;
        this.loop = pool.loop();
    }

    /** Where engines are; one that left the list stays known, as something may be held there. */
    public void addAddresses(Map<Long, InetSocketAddress> news) {
        addresses.putAll(news);
    }

    @Override
    public AttemptHandle send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
            AnswerListener answer) {
        HttpPayload payload = (HttpPayload) request.payload();
        InetSocketAddress to = addresses.get(engine);
        Incoming incoming = new Incoming(answer);
        incoming.call = pool.start(to, () -> request(to, payload, untilMs), payload.body(), mayBegin, incoming);
        return new CallHandle(incoming.call);
    }

    /** A client's request as it goes out now: the deadline that it tells is the time that is left. */
    private ClientRequest request(InetSocketAddress to, HttpPayload payload, double untilMs) {
        ClientRequest request = Requests.to(to, payload.method(), payload.target());
        for (Map.Entry<HttpString, String> header : payload.headers()) {
            request.getRequestHeaders().add(header.getKey(), header.getValue());
        }
        double leftSeconds = Math.max(1, untilMs - loop.nowMs()) / 1_000;
        request.getRequestHeaders().put(DEADLINE, String.format(Locale.ROOT, "%.3f", leftSeconds));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, payload.body().length);
        return request;
    }

    /** An engine's answer, told as an outcome. */
    private final class Incoming implements ResponseHandler {
        private final AnswerListener answer;
        private Call call;
        private boolean over;
        private final EventSplitter events = new EventSplitter();
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private Outcome meaning;
        private boolean framed;
        private boolean unfit;

        Incoming(AnswerListener answer) {
            this.answer = answer;
        }

        @Override
        public void head(int status, HeaderMap headers) {
            meaning = Outcomes.of(status, headers);
            unfit = Outcomes.unfit(status);
            // Without framing the end of the connection is no sign of a whole answer.
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
            if (meaning == Outcome.READ)
                loop.schedule(loop.nowMs() + READ_BODY_MS, () -> loop.runAfterInput(this::endWithoutBody));
        }

        /** Its head says that a state is held, and the time of that runs; the body only tells what was kept. */
        private void endWithoutBody() {
            if (over) return;
            call.abort();
            finish(Outcome.READ, Double.NaN);
        }

        private void finish(Outcome outcome, double kept) {
            over = true;
            answer.ended(outcome, kept);
        }

        @Override
        public void body(ByteBuffer piece) {
            if (meaning == Outcome.SERVED) {
                if (!events.feed(piece, answer::event)) framed = false;
            } else if (text.size() < MOST_READ) {
                while (piece.hasRemaining()) text.write(piece.get());
            }
        }

        @Override
        public void end() {
            over = true;
            if (unfit) {
                answer.rejected();
                return;
            }
            if (meaning == Outcome.SERVED && framed && events.rest().length > 0) answer.event(events.rest());
            finish(meaning == Outcome.SERVED && !framed ? Outcome.RESET : meaning, kept());
        }

        private double kept() {
            if (meaning != Outcome.READ) return 0;
            try {
                return JsonValue.parse("read", text.toString(StandardCharsets.UTF_8)).at("cached_tokens").number(0);
            } catch (ConfigException e) {
                return 0;
            }
        }

        @Override
        public void failed(Failure failure) {
            finish(Outcomes.broken(meaning, failure), 0);
        }
    }

    @Override
    public void release(long engine, String id, double untilMs, Consumer<ReleaseResult> ended) {
        InetSocketAddress to = addresses.get(engine);
        if (to != null) new ReleaseCall(pool, to, id, untilMs, ended).start();
        else ended.accept(new ReleaseResult(false, 0, 0));
    }
}
