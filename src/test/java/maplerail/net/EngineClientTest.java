package maplerail.net;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import maplerail.Router.Outcome;
import maplerail.core.ServiceRequest;
import maplerail.core.EngineTransport;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Attempts and releases over real sockets. */
class EngineClientTest {
    private static final long ENGINE = 7;
    private static final double CONNECT_TIMEOUT_MS = 20_000;

    @RegisterExtension
    private final LoopOnWorker own;
    private final XnioLoop loop;
    private final BlockingQueue<String> heard = GatewayFixture.queue();

    EngineClientTest() throws Exception {
        own = new LoopOnWorker();
        loop = own.loop();
    }

    private EngineClient client(StandIn engine, int connections) {
        ConnectionPool pool = own.pool(30_000, CONNECT_TIMEOUT_MS, connections);
        EngineClient client = new EngineClient(pool);
        client.addAddresses(Map.of(ENGINE, engine.socketAddress()));
        return client;
    }

    private static ServiceRequest request(String id) {
        HttpPayload payload = new HttpPayload(Methods.POST, "/" + id, List.of(), new byte[0]);
        return new ServiceRequest(id, 0, 0, 0, 10, 0, 0, 10_000, 10, 0, false, 0, payload);
    }

    private final class Heard implements EngineTransport.AnswerListener {
        @Override
        public void event(byte[] event) {}

        @Override
        public void rejected() {
            heard.add("unfit");
        }

        @Override
        public void ended(Outcome outcome, double kept) {
            heard.add(outcome.name());
        }
    }

    /** An attempt may wait for a connection; what it tells its engine is what the client has left by then. */
    @Test
    void theDeadlineThatIsToldIsTheTimeLeftWhenTheRequestIsWritten() throws Exception {
        BlockingQueue<StandIn.Exchange> asked = GatewayFixture.queue();
        try (StandIn engine = new StandIn(asked::add)) {
            EngineClient client = client(engine, 1);
            double startMs = loop.nowMs();
            double untilMs = startMs + 60_000;
            loop.execute(() -> client.send(ENGINE, request("first"), untilMs, () -> true, new Heard()));
            StandIn.Exchange first = take(asked);
            loop.execute(() -> client.send(ENGINE, request("second"), untilMs, () -> true, new Heard()));
            await("time has passed", () -> loop.nowMs() >= startMs + 400);
            double writtenAfterMs = loop.nowMs();
            first.reply(202, "");
            double toldSeconds = Double.parseDouble(take(asked).headers.get("req-deadline"));
            assertThat(toldSeconds).isLessThanOrEqualTo((untilMs - writtenAfterMs) / 1_000 + 0.001);
        }
    }

    /** The state that it lets go counts as held until it arrives, and a kept connection may be silent. */
    @Test
    void aReleaseThatAKeptConnectionSwallowsGoesOutAgainAtOnceOnANewOne() throws Exception {
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
                exchange.awaitClose(); // as on a connection on which nothing passes any more
            }
        })) {
            EngineClient client = client(engine, 4);
            loop.execute(() -> client.send(ENGINE, request("a"), loop.nowMs() + 60_000, () -> true, new Heard()));
            take(reads).reply(202, "");
            assertThat(take(heard)).isEqualTo("READ");
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
    void aReleaseThatIsNeverAnsweredIsGivenUpAtItsTime() throws Exception {
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
