package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import maplerail.support.GatewayFixture;
import maplerail.support.StandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkedRequestTest {
    private static final String HEAD = GatewayFixture.request("a1", "lookup", "4.0")
            .replaceFirst("(?s)Content-Length.*", "Transfer-Encoding: chunked\r\n\r\n");
    private static final String HIDDEN = GatewayFixture.request("hidden", "lookup", "4.0");

    private interface Scenario {
        void run(GatewayFixture fixture, StandIn reader) throws Exception;
    }

    static Stream<String> invalidBodies() {
        return Stream.of("zz\r\n\r\n", "5\r\nhello\r\nzz\r\n\r\n", "5\r\nhello\r\n-1\r\n\r\n",
                "3\r\nhello\r\n0\r\n\r\n",
                "5\r\nhello\r\n\r\n", "0\r\nnoise\r\n\r\n");
    }

    private static void withGateway(Scenario scenario) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer).start()) {
            scenario.run(fixture, reader);
        }
    }

    private static void sendInPieces(Socket client, String text, int pieceBytes) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += pieceBytes) {
            client.getOutputStream().write(bytes, i, Math.min(pieceBytes, bytes.length - i));
        }
    }

    /** Guards against serving a body whose chunks are invalid, and against passing on a request hidden in it. */
    @ParameterizedTest
    @MethodSource("invalidBodies")
    void aBodyInInvalidChunksIsRejected(String body) throws Exception {
        withGateway((fixture, reader) -> {
            try (Socket client = fixture.connect()) {
                sendInPieces(client, HEAD + body + HIDDEN, HEAD.length() + 7);
                assertThat(GatewayFixture.readAll(client.getInputStream())).doesNotContain("HTTP/1.1 200")
                        .matches("(?s)(HTTP/1.1 400.*)?");
            }
            assertThat(reader.count("POST")).isZero();
        });
    }

    /** Guards against a close with unread bytes, which resets the connection and takes the answers on their way with it. */
    @ParameterizedTest
    @MethodSource("invalidBodies")
    void aClientThatSendsInvalidChunksGetsItsAnswersThoughItSendsOn(String body) throws Exception {
        withGateway((fixture, reader) -> {
            try (Socket client = fixture.connect()) {
                String before = GatewayFixture.request("before", "lookup", "4.0");
                String text = before + HEAD + body + HIDDEN.repeat(20);
                sendInPieces(client, text, before.length() + HEAD.length() + 7);
                assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 200")
                        .contains("[DONE]", "\r\n0\r\n\r\nHTTP/1.1 400").doesNotContain("<reset>");
            }
            assertThat(reader.count("POST")).isEqualTo(1);
        });
    }

    /** Guards against rejecting valid chunks, however they arrive. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 50, 100_000})
    void aBodyInValidChunksIsServedAndTheNextRequestToo(int pieceBytes) throws Exception {
        withGateway((fixture, reader) -> {
            try (Socket client = fixture.connect()) {
                String body = "5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\nName: value\r\n\r\n";
                String next = HIDDEN.replaceFirst("\r\n", "\r\nConnection: close\r\n");
                sendInPieces(client, HEAD + body + next, pieceBytes);
                assertThat(GatewayFixture.readAll(client.getInputStream()).split("HTTP/1.1 200", -1)).hasSize(3);
            }
        });
    }
}
