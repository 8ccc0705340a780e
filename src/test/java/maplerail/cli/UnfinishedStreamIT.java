package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs a gateway process with a writer whose streams end before they are complete. */
class UnfinishedStreamIT {
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"part\"}}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** What the writer sends after the first event; none of them is the rest of a complete stream. */
    private static final Map<String, String> TAILS = Map.of(
            "the last chunk without the last event", LAST_CHUNK,
            "the last chunk in the middle of an event", chunk("data: {\"choi") + LAST_CHUNK,
            "a size that is wrongly zero", "0\r\n" + EVENT + "\r\n" + chunk(DONE) + LAST_CHUNK,
            "a size that is wrongly zero before the last event", "0\r\n" + DONE + "\r\n" + LAST_CHUNK,
            "a size that takes in the next chunk's frame",
            chunk(EVENT + "\r\n" + Integer.toHexString(EVENT.length()) + "\r\n" + EVENT) + chunk(DONE) + LAST_CHUNK,
            "a size that takes in a frame within an event",
            chunk("data: {\"a\":\r\n4\r\n1}\n\n") + chunk(DONE) + LAST_CHUNK,
            "text in place of the end of the last chunk", chunk(DONE) + "0\r\nnoise\r\n\r\n",
            "half of the last event", chunk("data: [DO") + LAST_CHUNK);

    @TempDir
    Path folder;

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    static Stream<String> tails() {
        return TAILS.keySet().stream().sorted();
    }

    private interface Scenario {
        void run(GatewayProgram gateway, int port) throws Exception;
    }

    private void withWriter(StandIn.Handler answer, Scenario scenario) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(exchange -> {
                    if (exchange.method.equals("DELETE")) exchange.reply(204, "");
                    else answer.handle(exchange);
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            scenario.run(gateway, gateway.readyPort());
        }
    }

    private static void breakOff(StandIn.Exchange exchange, String tail) throws IOException {
        exchange.startStream();
        exchange.chunk(EVENT);
        exchange.write(TAILS.get(tail));
        exchange.awaitClose();
    }

    /** Guards against passing on a stream as complete because its framing alone has an end. */
    @ParameterizedTest
    @MethodSource("tails")
    void aStreamThatIsNotWholeIsNotEndedAsIfItWere(String tail) throws Exception {
        withWriter(exchange -> breakOff(exchange, tail), (gateway, port) -> {
            String answer = gateway.exchange(GatewayFixture.request("s1", "repair-order", "4.0"));
            assertThat(answer).startsWith("HTTP/1.1 200").contains("part").doesNotEndWith(LAST_CHUNK);
        });
    }

    /** Guards against the same where the client has sent its next request behind this one. */
    @ParameterizedTest
    @MethodSource("tails")
    void aStreamThatIsNotWholeEndsAConnectionWithAnotherRequestBehindIt(String tail) throws Exception {
        withWriter(exchange -> breakOff(exchange, tail), (gateway, port) -> {
            try (Socket client = new Socket("127.0.0.1", port)) {
                String requests = GatewayFixture.request("s1", "repair-order", "4.0")
                        + GatewayFixture.request("s2", "repair-order", "4.0");
                client.getOutputStream().write(requests.getBytes(StandardCharsets.UTF_8));
                String answer = GatewayFixture.readAll(client.getInputStream());
                assertThat(answer).startsWith("HTTP/1.1 200").contains("part").doesNotContain(LAST_CHUNK);
            }
        });
    }

    /** Guards against serving an answer that has no event at all. */
    @Test
    void anAnswerWithoutAnyEventIsAFailedAttempt() throws Exception {
        withWriter(exchange -> {
            exchange.startStream();
            exchange.endStream();
        }, (gateway, port) -> assertThat(gateway.exchange(GatewayFixture.request("s1", "repair-order", "4.0")))
                .startsWith("HTTP/1.1 502"));
    }

    /** Guards against cutting a complete stream for what an engine may add to it. */
    @ParameterizedTest
    @MethodSource("wholeTails")
    void aWholeStreamIsPassedOnToItsEnd(String tail) throws Exception {
        withWriter(exchange -> {
            exchange.startStream();
            exchange.chunk(EVENT);
            exchange.write(tail);
        }, (gateway, port) -> assertThat(gateway.exchange(GatewayFixture.request("s1", "repair-order", "4.0")))
                .startsWith("HTTP/1.1 200").contains("part").endsWith(LAST_CHUNK));
    }

    static Stream<String> wholeTails() {
        return Stream.of(chunk(DONE) + LAST_CHUNK, chunk(EVENT + DONE) + "0\r\nServer-Timing: total;dur=3\r\n\r\n",
                chunk(": a comment\n\n") + chunk("event: usage\nid: 7\nretry: 5\n" + DONE) + LAST_CHUNK,
                chunk("data: [DO") + chunk("NE]\r\n\r\n") + LAST_CHUNK, chunk("data:[DONE]\n\n") + LAST_CHUNK,
                chunk("data: [DONE]\n") + LAST_CHUNK);
    }
}
