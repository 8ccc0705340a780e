package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a gateway process with engines that send slowly or stall; a state may be held for 250 ms, as on the hasty site.
 */
class SlowEngineIT {
    private static final double PIN_LIMIT_MS = 250;
    private static final double SLACK_MS = 300; // that the rules on sockets add to the limit
    private static final double END_TIMEOUT_MS = 5_000; // after the last event of a stalled stream, by TERMS
    private static final int LONG_EVENT_MS = 6_500;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String READ = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"slowly\"}}]}\n\n";
    private static final String CHUNK = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";

    @TempDir
    Path folder;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** An engine that answers releases at once, and passes all other calls to a handler. */
    private static StandIn engine(StandIn.Handler answer) throws Exception {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else answer.handle(x);
        });
    }

    private static String config(GatewayFixture fixture) {
        String config = fixture.config("127.0.0.1:0");
        assertThat(config).contains("\"pinLimitMs\":500.0");
        return config.replace("\"pinLimitMs\":500.0", "\"pinLimitMs\":250.0");
    }

    private GatewayProgram gateway(GatewayFixture fixture) throws Exception {
        GatewayProgram gateway = GatewayProgram.serve(folder, config(fixture));
        gateway.readyPort();
        return gateway;
    }

    /**
     * Sends a request and expects the complete answer: both events, the last chunk, and no second attempt at the
     * writer.
     */
    private void assertServed(StandIn.Handler reader, StandIn.Handler writer) throws Exception {
        try (StandIn reads = engine(reader);
                StandIn writes = engine(writer);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reads).engine("w", "decode",
                        writes);
                GatewayProgram gateway = gateway(fixture)) {
            String answer = gateway.exchange(GatewayFixture.request("a1", "repair-order", "6.0"));
            assertThat(answer).as(gateway.log()).startsWith("HTTP/1.1 200").contains("slowly").contains("[DONE]")
                    .endsWith("\r\n0\r\n\r\n");
            assertThat(writes.count("POST")).isEqualTo(1);
        }
    }

    private static void read(StandIn.Exchange x) throws Exception {
        x.write(READ);
    }

    private static void finish(StandIn.Exchange x) throws Exception {
        x.chunk("data: [DONE]\n\n");
        x.endStream();
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aStreamThatArrivesByteByByteIsPassedOnToItsEnd(int spanMs) throws Exception {
        assertServed(SlowEngineIT::read, x -> {
            x.write(HEAD);
            x.writeSlowly(CHUNK, spanMs);
            finish(x);
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 2_000})
    void aStreamThatPausesWithinAChunkIsPassedOnToItsEnd(int pauseMs) throws Exception {
        assertServed(SlowEngineIT::read, x -> {
            x.startStream();
            x.chunk(EVENT);
            x.write(CHUNK.substring(0, 20));
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            x.write(CHUNK.substring(20));
            finish(x);
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aWriterWhoseHeadArrivesByteByByteServes(int spanMs) throws Exception {
        assertServed(SlowEngineIT::read, x -> {
            x.writeSlowly(HEAD, spanMs);
            x.chunk(EVENT);
            finish(x);
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200})
    void aReaderWhoseAnswerArrivesByteByByteReads(int spanMs) throws Exception {
        assertServed(x -> x.writeSlowly(READ, spanMs), x -> {
            x.startStream();
            x.chunk(EVENT);
            finish(x);
        });
    }

    /** Guards against cutting a stream whose engine is still writing, as no event has become whole for a while. */
    @Test
    void anEventThatArrivesByteByByteForLongerThanAStreamMayStallIsPassedOn() throws Exception {
        assertServed(SlowEngineIT::read, x -> {
            x.startStream();
            x.chunk(EVENT);
            x.writeSlowly(CHUNK, LONG_EVENT_MS);
            finish(x);
        });
    }

    /** Guards against giving up a writer that pauses within the head of its stream. */
    @ParameterizedTest
    @ValueSource(ints = {500, 1_200})
    void aWriterThatPausesWithinItsHeadServes(int pauseMs) throws Exception {
        assertServed(SlowEngineIT::read, x -> {
            for (String line : HEAD.split("(?<=\n)")) {
                x.write(line);
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
            x.chunk(EVENT);
            finish(x);
        });
    }

    /** A client expects the end within 5 s of the last event, so that it can request the rest elsewhere. */
    @Test
    void aStreamThatStallsWithinAChunkEndsTheClientsConnectionInTime() throws Exception {
        AtomicReference<Double> stalledMs = new AtomicReference<>();
        try (StandIn reads = engine(SlowEngineIT::read);
                StandIn writes = engine(x -> {
                    x.startStream();
                    x.chunk(EVENT);
                    x.write(CHUNK.substring(0, 20));
                    stalledMs.set(nowMs());
                    x.awaitClose();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reads).engine("w", "decode",
                        writes);
                GatewayProgram gateway = gateway(fixture);
                Socket client = new Socket("127.0.0.1", gateway.port())) {
            client.getOutputStream().write(GatewayFixture.request("a1", "repair-order", "6.0").getBytes());
            String answer = GatewayFixture.readAll(client.getInputStream());
            assertThat(nowMs() - stalledMs.get()).isLessThan(END_TIMEOUT_MS);
            assertThat(answer).startsWith("HTTP/1.1 200").contains("slowly").doesNotContain("\r\n0\r\n\r\n");
        }
    }

    /** The state is held from the start of the answer, whether or not the rest of it arrives. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 19\r\n\r\n", "Content-Length: 19\r\n\r\n{\"cached",
            "Transfer-Encoding: chunked\r\n\r\n"})
    void aStateIsReleasedInTimeThoughTheReadersAnswerStallsAfterTheHead(String partOfAnswer) throws Exception {
        assertReleasedInTime(partOfAnswer);
    }

    /** The same holds for an answer that stops in the middle of a chunk. */
    @Test
    void aStateIsReleasedInTimeThoughTheReadersAnswerStallsWithinAChunk() throws Exception {
        assertReleasedInTime("Transfer-Encoding: chunked\r\n\r\n13\r\n{\"cached");
    }

    private void assertReleasedInTime(String partOfAnswer) throws Exception {
        List<Double> callTimesMs = new CopyOnWriteArrayList<>();
        try (StandIn reads = new StandIn(x -> {
            callTimesMs.add(nowMs()); // a read renews the held state, a release ends it
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            x.write("HTTP/1.1 202 Accepted\r\n" + partOfAnswer);
            x.awaitClose();
        });
                StandIn writes = engine(x -> x.reply(500, ""));
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reads).engine("w", "decode",
                        writes);
                GatewayProgram gateway = gateway(fixture)) {
            assertThat(gateway.exchange(GatewayFixture.request("a1", "repair-order", "2.0"))).startsWith("HTTP/1.1 ");
            await("released", () -> reads.count("DELETE") > 0);
            for (int i = 1; i < callTimesMs.size(); i++) {
                double heldMs = callTimesMs.get(i) - callTimesMs.get(i - 1);
                assertThat(heldMs).as(gateway.log()).isLessThan(PIN_LIMIT_MS + SLACK_MS);
            }
        }
    }
}
