package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import maplerail.core.ClientMemory;
import maplerail.support.GatewayFixture;
import maplerail.support.StandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests releases whose answers come slowly, or never end. */
class DrippingReleaseTest {
    private static final long ENGINE = 7;
    private static final double MAX_OPEN_MS = 5_000; // by which a client, too, would have to be told
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @RegisterExtension
    private final TestLoop testLoop;
    private final EngineClient client;
    private final BlockingQueue<Boolean> answered = GatewayFixture.queue();

    DrippingReleaseTest() throws Exception {
        testLoop = new TestLoop();
        client = new EngineClient(testLoop.pool(30_000, 500, 50), ClientMemory.unlimited(testLoop.loop()));
    }

    private void release(StandIn engine) {
        client.addAddresses(Map.of(ENGINE, engine.socketAddress()));
        double deadlineMs = testLoop.loop().nowMs() + 2_000;
        testLoop.loop().execute(() -> client.release(ENGINE, "a1", deadlineMs,
                result -> answered.add(result.answered())));
    }

    /** Guards against connections that stay open for good behind the answer to a release. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", CHUNKED + "ffff\r\n", CHUNKED,
            "HTTP/1.1 200 OK\r\n\r\n"})
    void aConnectionIsClosedIfTheAnswerToAReleaseNeverEnds(String begin) throws Exception {
        BlockingQueue<Double> openMs = GatewayFixture.queue();
        try (StandIn engine = new StandIn(exchange -> {
            exchange.write(begin);
            double startMs = System.nanoTime() / 1e6;
            try {
                while (!exchange.isClosedByPeer() && System.nanoTime() / 1e6 < startMs + 2 * MAX_OPEN_MS) {
                    TimeUnit.MILLISECONDS.sleep(100);
                    exchange.write("1");
                }
            } finally {
                openMs.add(System.nanoTime() / 1e6 - startMs);
            }
        })) {
            release(engine);
            assertThat(GatewayFixture.take(answered)).isTrue();
            assertThat(GatewayFixture.take(openMs)).isLessThan(MAX_OPEN_MS);
        }
    }

    /** Guards against giving up a connection whose answer is only slow. */
    @Test
    void aConnectionIsUsedAgainIfTheAnswerToAReleaseComesSlowly() throws Exception {
        BlockingQueue<Integer> connections = GatewayFixture.queue();
        try (StandIn engine = new StandIn(exchange -> {
            exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
            exchange.writeSlowly("{\"released\":\"it was\"", 400);
            connections.add(exchange.connection());
        })) {
            release(engine);
            GatewayFixture.take(answered);
            int first = GatewayFixture.take(connections);
            GatewayFixture.pause(100);
            release(engine);
            GatewayFixture.take(answered);
            assertThat(GatewayFixture.take(connections)).isEqualTo(first);
        }
    }
}
