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

/** Answers that come slowly and are sound, and those that stop, on a site whose states may be held for 250 ms. */
class SlowAnswerTest {
    private static final double PIN_LIMIT_MS = 250;
    /** What the rules on sockets add to the pin limit. */
    private static final double SLACK_MS = 300;
    private static final int MOST_HEAD = 16 * 1024; // bytes
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String READ = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"slowly\"}}]}\n\n";
    private static final String CHUNK = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";
    private static final String END = "0\r\n\r\n";

    @RegisterExtension
    private final LoopOnWorker own;
    private final XnioLoop loop;
    private final BlockingQueue<String> heard = GatewayFixture.queue();
    private final StringBuilder came = new StringBuilder();

    SlowAnswerTest() throws Exception {
        own = new LoopOnWorker();
        loop = own.loop();
    }

    private final class Heard implements Reply {
        @Override
        public void head(int status, HeaderMap headers) {
            came.append(status).append(' ');
        }

        @Override
        public void body(ByteBuffer piece) {
            came.append(StandardCharsets.UTF_8.decode(piece));
        }

        @Override
        public void end() {
            heard.add(came + "end");
        }

        @Override
        public void failed(Failure failure) {
            heard.add(came + "" + failure);
        }
    }

    /** What is heard of a call, up to its end. */
    private String call(StandIn server) throws Exception {
        ConnectionPool pool = own.pool(30_000, 20_000, 50);
        InetSocketAddress to = server.socketAddress();
        ClientRequest request = Requests.to(to, Methods.POST, "/");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 2);
        loop.execute(() -> pool.start(to, request, "{}".getBytes(StandardCharsets.UTF_8), new Heard()));
        return take(heard);
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aReadersAnswerThatComesAByteAtATimeIsWhole(int spanMs) throws Exception {
        try (StandIn reader = new StandIn(x -> x.writeSlowly(READ, spanMs))) {
            assertThat(call(reader)).isEqualTo("202 {}end");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aStreamWhoseHeadComesAByteAtATimeIsWhole(int spanMs) throws Exception {
        try (StandIn writer = new StandIn(x -> {
            x.writeSlowly(STREAM, spanMs);
            x.write(CHUNK + END);
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aChunkThatComesAByteAtATimeIsWhole(int spanMs) throws Exception {
        try (StandIn writer = new StandIn(x -> {
            x.write(STREAM);
            x.writeSlowly(CHUNK, spanMs);
            x.write(END);
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    /** In the line of its size, in its middle, in front of the line that ends it, and in the last chunk of all. */
    @ParameterizedTest
    @CsvSource({"1,400", "20,400", "-2,400", "-1,400", "20,2000"})
    void aChunkThatPausesAndGoesOnIsWhole(int at, int pauseMs) throws Exception {
        int cut = at < 0 ? CHUNK.length() + at : at;
        try (StandIn writer = new StandIn(x -> {
            x.write(STREAM + CHUNK.substring(0, cut));
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            x.write(CHUNK.substring(cut) + "0\r");
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            x.write("\n\r\n");
        })) {
            assertThat(call(writer)).isEqualTo("200 " + EVENT + "end");
        }
    }

    /** It says that the engine is at work; for how long that takes it does not say. */
    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void anAnswerLongAfterOneInFrontIsWhole(int afterMs) throws Exception {
        try (StandIn reader = new StandIn(x -> {
            x.write("HTTP/1.1 102 Processing\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(afterMs);
            x.write(READ);
        })) {
            assertThat(call(reader)).isEqualTo("202 {}end");
        }
    }

    /** Its request has run, and what its engine holds for it is owed a release within the pin limit. */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 202 Accepted\r\n", "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Acc"})
    void aHeadThatFallsSilentIsBrokenInTimeForARelease(String begun) throws Exception {
        try (StandIn reader = new StandIn(x -> {
            x.write(begun);
            x.awaitClose();
        })) {
            double startMs = loop.nowMs();
            assertThat(call(reader)).isEqualTo("BROKEN");
            assertThat(loop.nowMs() - startMs).isLessThan(PIN_LIMIT_MS + SLACK_MS);
        }
    }

    /** However slowly: bytes that go on coming put off the limit on silence, but not the one on its length. */
    @Test
    void aHeadThatDoesNotEndIsBrokenAtItsLongest() throws Exception {
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
            assertThat(sent.get()).isLessThan(2 * MOST_HEAD);
        }
    }
}
