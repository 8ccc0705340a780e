package maplerail.net;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.Router.Outcome;
import maplerail.core.ClientMemory;
import maplerail.core.ServiceRequest;
import maplerail.core.EngineTransport;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests attempts and releases over real sockets. */
class EngineClientTest {
    private static final long ENGINE = 7;
    private static final double CONNECT_TIMEOUT_MS = 20_000;

    @RegisterExtension
    private final TestLoop testLoop;
    private final XnioLoop loop;
    private final BlockingQueue<String> outcomes = GatewayFixture.queue();

    EngineClientTest() throws Exception {
        testLoop = new TestLoop();
        loop = testLoop.loop();
    }

    private EngineClient client(StandIn engine, int connections) {
        ConnectionPool pool = testLoop.pool(30_000, CONNECT_TIMEOUT_MS, connections);
        EngineClient client = new EngineClient(pool, ClientMemory.unlimited(loop));
        client.addAddresses(Map.of(ENGINE, engine.socketAddress()));
        return client;
    }

    private static ServiceRequest request(String id) {
        HttpPayload payload = new HttpPayload(Methods.POST, "/" + id, List.of(), new byte[0]);
        return new ServiceRequest(id, 0, 0, 0, 10, 0, 0, 10_000, 10, 0, false, 0, payload);
    }

    private final class RecordingAnswer implements EngineTransport.AnswerListener {
        private final StringBuffer events = new StringBuffer();

        @Override
        public void event(byte[] event) {
            events.append(new String(event, StandardCharsets.US_ASCII));
        }

        @Override
        public void rejected() {
            outcomes.add("rejected");
        }

        @Override
        public void ended(Outcome outcome, double cachedTokens) {
            outcomes.add(outcome.name());
        }
    }

    /**
     * An attempt may wait for a connection; the deadline sent to its engine is the time that the client has left by
     * then.
     */
    @Test
    void deadlineHeaderIsTheTimeLeftWhenTheRequestIsWritten() throws Exception {
        BlockingQueue<StandIn.Exchange> requests = GatewayFixture.queue();
        try (StandIn engine = new StandIn(requests::add)) {
            EngineClient client = client(engine, 1);
            double startMs = loop.nowMs();
            double deadlineMs = startMs + 60_000;
            loop.execute(() -> client.send(ENGINE, request("first"), deadlineMs, () -> true, new RecordingAnswer()));
            StandIn.Exchange first = take(requests);
            loop.execute(() -> client.send(ENGINE, request("second"), deadlineMs, () -> true, new RecordingAnswer()));
            await("time has passed", () -> loop.nowMs() >= startMs + 400);
            double writtenAfterMs = loop.nowMs();
            first.reply(202, "");
            double deadlineSeconds = Double.parseDouble(take(requests).headers.get("req-deadline"));
            assertThat(deadlineSeconds).isLessThanOrEqualTo((deadlineMs - writtenAfterMs) / 1_000 + 0.001);
        }
    }

    private void sendAndAwaitEnd(EngineClient client, String id, RecordingAnswer answer) throws Exception {
        loop.execute(() -> client.send(ENGINE, request(id), loop.nowMs() + 60_000, () -> true, answer));
        take(outcomes);
    }

    private void awaitMs(double untilMs) throws InterruptedException {
        await("time has passed", () -> loop.nowMs() > untilMs);
    }

    private static void answerWithStream(StandIn.Exchange exchange) throws Exception {
        exchange.startStream();
        exchange.chunk("data: " + exchange.target + "\n\ndata: [DONE]\n\n");
        exchange.endStream();
    }

    /** Guards against giving a client the answer to another one's request, which came a second time on its connection. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 65, 120, 200})
    void aSecondStreamThatComesLateIsNotTakenForTheNextOne(int lateMs) throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        try (StandIn engine = new StandIn(exchange -> {
            answerWithStream(exchange);
            if (!exchange.target.equals("/first")) return;
            TimeUnit.MILLISECONDS.sleep(lateMs);
            answerWithStream(exchange);
            second.countDown();
        })) {
            EngineClient client = client(engine, 100);
            sendAndAwaitEnd(client, "first", new RecordingAnswer());
            for (int i = 0; second.getCount() > 0 || i < 3; i++) {
                RecordingAnswer answer = new RecordingAnswer();
                double startMs = loop.nowMs();
                sendAndAwaitEnd(client, "next" + i, answer);
                assertThat(answer.events).hasToString("data: /next" + i + "\n\ndata: [DONE]\n\n");
                awaitMs(startMs + 10);
            }
        }
    }

    /** Guards against opening a connection for each attempt, as engines hold only so many. */
    @Test
    void aConnectionIsUsedAgainOnceNoSecondAnswerCanComeAnyMore() throws Exception {
        try (StandIn engine = new StandIn(exchange -> {
            if (exchange.target.startsWith("/read")) exchange.reply(202, "");
            else answerWithStream(exchange);
        })) {
            EngineClient client = client(engine, 100);
            sendAndAwaitEnd(client, "read1", new RecordingAnswer());
            awaitMs(loop.nowMs() + 100);
            sendAndAwaitEnd(client, "read2", new RecordingAnswer());
            assertThat(engine.connections()).as("behind a read").isEqualTo(1);
            awaitMs(loop.nowMs() + 100);
            sendAndAwaitEnd(client, "write1", new RecordingAnswer());
            assertThat(engine.connections()).isEqualTo(1);
            awaitMs(loop.nowMs() + 100);
            sendAndAwaitEnd(client, "write2", new RecordingAnswer());
            assertThat(engine.connections()).as("soon after a stream").isEqualTo(2);
            awaitMs(loop.nowMs() + 350);
            sendAndAwaitEnd(client, "write3", new RecordingAnswer());
            assertThat(engine.connections()).as("long after a stream").isEqualTo(2);
        }
    }

    /** The state counts as held until the release arrives, and an idle connection may no longer respond. */
    @Test
    void releaseLostOnAnIdleConnectionIsRetriedSoonOnANewOne() throws Exception {
        BlockingQueue<StandIn.Exchange> reads = GatewayFixture.queue();
        BlockingQueue<Double> releasedMs = GatewayFixture.queue();
        BlockingQueue<EngineTransport.ReleaseResult> results = GatewayFixture.queue();
        try (StandIn engine = new StandIn(exchange -> {
            if (exchange.method.equals("POST")) {
                reads.add(exchange);
            } else if (exchange.number == 0) {
                releasedMs.add(loop.nowMs());
                exchange.reply(204, "");
            } else {
                exchange.awaitClose(); // like a connection on which nothing is delivered any more
            }
        })) {
            EngineClient client = client(engine, 4);
            loop.execute(
                    () -> client.send(ENGINE, request("a"), loop.nowMs() + 60_000, () -> true, new RecordingAnswer()));
            take(reads).reply(202, "");
            assertThat(take(outcomes)).isEqualTo("READ");
            double readEndedMs = loop.nowMs();
            await("settled", () -> loop.nowMs() > readEndedMs + 100);
            double startMs = loop.nowMs();
            loop.execute(() -> client.release(ENGINE, "a", startMs + 2_000, results::add));
            assertThat(take(releasedMs) - startMs).isLessThan(200);
            EngineTransport.ReleaseResult result = take(results);
            assertThat(result.answered()).isTrue();
            assertThat(result.tries()).isEqualTo(2);
        }
    }

    @Test
    void unansweredReleaseEndsAtItsDeadline() throws Exception {
        BlockingQueue<EngineTransport.ReleaseResult> results = GatewayFixture.queue();
        try (StandIn engine = new StandIn(StandIn.Exchange::awaitClose)) {
            EngineClient client = client(engine, 4);
            double startMs = loop.nowMs();
            loop.execute(() -> client.release(ENGINE, "a", startMs + 400, results::add));
            EngineTransport.ReleaseResult result = take(results);
            assertThat(result.answered()).isFalse();
            assertThat(result.tries()).isBetween(2, 4);
            assertThat(loop.nowMs()).isGreaterThanOrEqualTo(startMs + 400);
        }
    }
}
