package maplerail.net;

import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests valid responses that arrive slowly, and responses that stop, with a pin limit of 250 ms. */
class SlowResponseTest {
    private static final double PIN_LIMIT_MS = 250;
    /** Time that the socket rules add to the pin limit. */
    private static final double SOCKET_SLACK_MS = 300;
    /** Limit of the parser on the size of a head. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String READ = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"slowly\"}}]}\n\n";
    private static final String CHUNK = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";
    private static final String END = "0\r\n\r\n";

    @RegisterExtension
    private final TestLoop testLoop;
    private final XnioLoop loop;
    private final BlockingQueue<String> results = GatewayFixture.queue();
    private final StringBuilder received = new StringBuilder();

    SlowResponseTest() throws Exception {
        testLoop = new TestLoop();
        loop = testLoop.loop();
    }

    private final class RecordingHandler implements ResponseHandler {
        @Override
        public void head(int status, HeaderMap headers) {
            received.append(status).append(' ');
        }

        @Override
        public void body(ByteBuffer part) {
            received.append(StandardCharsets.UTF_8.decode(part));
        }

        @Override
        public void end() {
            results.add(received + "end");
        }

        @Override
        public void failed(Failure failure) {
            results.add(received + "" + failure);
        }
    }

    /** Makes a call and returns what its handler received, followed by how it ended. */
    private String call(StandIn server) throws Exception {
        ConnectionPool pool = testLoop.pool(30_000, 20_000, 50);
        InetSocketAddress address = server.socketAddress();
        ClientRequest request = Requests.to(address, Methods.POST, "/");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 2);
        loop.execute(() -> pool.start(address, request, "{}".getBytes(StandardCharsets.UTF_8), new RecordingHandler()));
        return take(results);
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void readerResponseArrivingByteByByteIsComplete(int spanMs) throws Exception {
        try (StandIn reader = new StandIn(x -> x.writeSlowly(READ, spanMs))) {
            assertThat(call(reader)).isEqualTo("202 {}end");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void streamWithAHeadArrivingByteByByteIsComplete(int spanMs) throws Exception {
        try (StandIn writer = new StandIn(x -> {
            x.writeSlowly(STREAM, spanMs);
            x.write(CHUNK + END);
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void chunkArrivingByteByByteIsComplete(int spanMs) throws Exception {
        try (StandIn writer = new StandIn(x -> {
            x.write(STREAM);
            x.writeSlowly(CHUNK, spanMs);
            x.write(END);
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    /**
     * Pauses within the line of the chunk size, within the data, before the terminating line, and within the last
     * chunk.
     */
    @ParameterizedTest
    @CsvSource({"1,400", "20,400", "-2,400", "-1,400", "20,2000"})
    void chunkThatPausesIsComplete(int position, int pauseMs) throws Exception {
        int split = position < 0 ? CHUNK.length() + position : position;
        try (StandIn writer = new StandIn(x -> {
            x.write(STREAM + CHUNK.substring(0, split));
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            x.write(CHUNK.substring(split) + "0\r");
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            x.write("\n\r\n");
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    /** An interim response indicates that the engine is working, but not for how long. */
    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void responseLongAfterAnInterimResponseIsComplete(int afterMs) throws Exception {
        try (StandIn reader = new StandIn(x -> {
            x.write("HTTP/1.1 102 Processing\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(afterMs);
            x.write(READ);
        })) {
            assertThat(call(reader)).isEqualTo("202 {}end");
        }
    }

    /** The request has run, so the state that its engine holds must be released within the pin limit. */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 202 Accepted\r\n", "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Acc"})
    void silentPartialHeadFailsInTimeForARelease(String partialHead) throws Exception {
        try (StandIn reader = new StandIn(x -> {
            x.write(partialHead);
            x.awaitClose();
        })) {
            double startMs = loop.nowMs();
            assertThat(call(reader)).isEqualTo("BROKEN");
            assertThat(loop.nowMs() - startMs).isLessThan(PIN_LIMIT_MS + SOCKET_SLACK_MS);
        }
    }

    /**
     * Bytes that keep arriving, however slowly, extend the limit on silence but not the limit on the size of the head.
     */
    @Test
    void headWithoutEndFailsAtItsSizeLimit() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        try (StandIn reader = new StandIn(x -> {
            String line = "X-Noise: " + "n".repeat(245) + "\r\n";
            x.write("HTTP/1.1 202 Accepted\r\n");
            while (!x.isClosedByPeer()) {
                x.write(line);
                sent.addAndGet(line.length());
                TimeUnit.MILLISECONDS.sleep(10);
            }
        })) {
            assertThat(call(reader)).isEqualTo("BROKEN");
            assertThat(sent.get()).isLessThan(2 * MAX_HEAD_BYTES);
        }
    }
}
