package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a gateway process with clients that send many requests at once on one connection. */
class DepartedClientIT {
    private static final double MAX_ATTEMPT_AFTER_CLOSE_MS = 100;
    private static final double OWN_SLACK_MS = 60; // for the threads of this test
    private static final double STAY_MS = 100;
    private static final double OBSERVATION_MS = 1_500;
    private static final double READ_MS = 500;
    private static final double WRITE_MS = 200;
    private static final int REQUEST_BYTES = 2_500;
    private static final int REPEATED_REQUESTS = 10;
    private static final int ANSWER_TIMEOUT_MS = 15_000;

    @TempDir
    Path folder;

    /** One POST at an engine. */
    private record Attempt(String id, double atMs) {}

    private final List<Attempt> reads = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> writes = new ConcurrentHashMap<>();
    private final List<Attempt> writeTimes = new CopyOnWriteArrayList<>();

    private volatile double readMs = READ_MS;
    private volatile double writeMs;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private StandIn reader() throws IOException {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            reads.add(new Attempt(exchange.headers.get("req-id"), nowMs()));
            GatewayFixture.pause(readMs);
            exchange.reply(202, "{\"cached_tokens\":0}");
        });
    }

    private StandIn writer() throws IOException {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            writes.merge(exchange.headers.get("req-id"), 1, Integer::sum);
            writeTimes.add(new Attempt(exchange.headers.get("req-id"), nowMs()));
            GatewayFixture.pause(writeMs);
            exchange.startStream();
            exchange.chunk("data: {\"a\":1}\n\n");
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    private interface Scenario {
        void run(GatewayProgram gateway, int port) throws Exception;
    }

    private void withGateway(Scenario scenario) throws Exception {
        try (StandIn reader = reader();
                StandIn writer = writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            scenario.run(gateway, gateway.readyPort());
        }
    }

    private static String request(int number) {
        String body = "x".repeat(REQUEST_BYTES);
        return GatewayFixture.request("c" + number, "repair-order", "6.000")
                .replaceFirst("(?s)Content-Length.*", "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static byte[] requests(int bytes) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; text.length() < bytes; i++) text.append(request(i));
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request, many more once its read is out, stays for a while and leaves; returns when it left. */
    private double sendAndLeave(int port, int bytes, boolean reset) throws Exception {
        byte[] sent = requests(bytes);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            int first = request(0).length();
            send(socket, Arrays.copyOf(sent, first));
            GatewayFixture.await("the first read is out", () -> !reads.isEmpty());
            new Thread(() -> send(socket, Arrays.copyOfRange(sent, first, sent.length))).start();
            GatewayFixture.pause(STAY_MS);
            if (reset) socket.setSoLinger(true, 0);
            return nowMs();
        }
    }

    private static void send(Socket socket, byte[] bytes) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
        } catch (IOException e) {
            return; // the client has left
        }
    }

    private List<Attempt> attemptsAfter(double closedMs) {
        double lateMs = closedMs + MAX_ATTEMPT_AFTER_CLOSE_MS + OWN_SLACK_MS;
        return java.util.stream.Stream.concat(reads.stream(), writeTimes.stream())
                .filter(attempt -> attempt.atMs > lateMs).toList();
    }

    /** Guards against a close that is not noticed behind bytes that the gateway has not read. */
    @ParameterizedTest
    @CsvSource({"100000,false", "100000,true", "700000,false", "700000,true", "4000000,false", "4000000,true"})
    void noRequestOfAClientThatHasLeftIsSentThoughMuchIsUnreadBehindIt(int bytes, boolean reset) throws Exception {
        withGateway((gateway, port) -> {
            double closedMs = sendAndLeave(port, bytes, reset);
            GatewayFixture.pause(OBSERVATION_MS);
            assertThat(attemptsAfter(closedMs)).as(gateway.log()).isEmpty();
        });
    }

    /** Guards against an attempt that begins before the close behind its request is read. */
    @ParameterizedTest
    @CsvSource({"5000,false", "100000,false", "100000,true", "700000,false", "700000,true", "4000000,false"})
    void noRequestOfAClientThatLeftWhileTheGatewayStoodStillIsSent(int bytes, boolean reset) throws Exception {
        byte[] sent = requests(bytes);
        withGateway((gateway, port) -> {
            gateway.signal("STOP");
            try (Socket socket = new Socket("127.0.0.1", port)) {
                new Thread(() -> send(socket, sent)).start();
                GatewayFixture.pause(STAY_MS);
                if (reset) socket.setSoLinger(true, 0);
            }
            GatewayFixture.pause(MAX_ATTEMPT_AFTER_CLOSE_MS);
            gateway.signal("CONT");
            GatewayFixture.pause(OBSERVATION_MS);
            assertThat(reads).as(gateway.log()).isEmpty();
            assertThat(writes).as(gateway.log()).isEmpty();
        });
    }

    /** Guards against serving an id both for the connection that was closed and for the one on which it comes again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anIdThatComesAgainAfterItsClientHasLeftRunsOnce(boolean reset) throws Exception {
        withGateway((gateway, port) -> {
            sendAndLeave(port, 700_000, reset);
            GatewayFixture.pause(MAX_ATTEMPT_AFTER_CLOSE_MS + OWN_SLACK_MS);
            for (int i = 0; i < REPEATED_REQUESTS; i++) {
                assertThat(gateway.exchange(request(i))).as("request %s %s", i, gateway.log())
                        .startsWith("HTTP/1.1 200");
            }
            GatewayFixture.pause(OBSERVATION_MS);
            assertThat(writes).as(gateway.log()).hasSize(REPEATED_REQUESTS);
            assertThat(writes.values()).as("runs of each id %s", writes).allMatch(runs -> runs == 1);
        });
    }

    /** Guards against running an unsafe request again that may have run before its client left. */
    @ParameterizedTest
    @CsvSource({"repair-order,false,409,1", "repair-order,true,409,1", "lookup,false,200,2"})
    void anIdWhoseWriteWasOutWhenItsClientLeftRunsAgainOnlyIfItIsSafe(String kind, boolean reset, int status, int runs)
            throws Exception {
        readMs = 0;
        writeMs = WRITE_MS;
        String request = GatewayFixture.request("w1", kind, "6.000");
        withGateway((gateway, port) -> {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                send(socket, request.getBytes(StandardCharsets.ISO_8859_1));
                GatewayFixture.await("the write is out", () -> writes.containsKey("w1"));
                if (reset) socket.setSoLinger(true, 0);
            }
            GatewayFixture.await("the client is known to have left", () -> gateway.log().contains("abandoned"));
            GatewayFixture.pause(WRITE_MS); // so that the request of the client that left is closed
            assertThat(gateway.exchange(request)).as(gateway.log()).startsWith("HTTP/1.1 " + status);
            assertThat(writes).as(gateway.log()).containsEntry("w1", runs);
        });
    }

    /** Guards against requests that are dropped without an answer once their client has sent more than is held. */
    @ParameterizedTest
    @ValueSource(ints = {400_000, 3_000_000})
    void everyRequestOfAClientThatStaysIsAnswered(int bytes) throws Exception {
        readMs = 0;
        byte[] sent = requests(bytes);
        int expected = new String(sent, StandardCharsets.ISO_8859_1).split("POST /v1", -1).length - 1;
        withGateway((gateway, port) -> {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                new Thread(() -> send(socket, sent)).start();
                assertThat(countAnswers(socket, expected)).as(gateway.log()).isEqualTo(expected);
                send(socket, request(expected).getBytes(StandardCharsets.ISO_8859_1));
                assertThat(GatewayFixture.readUntil(socket, "HTTP/1.1 200")).as("the connection serves again")
                        .endsWith("HTTP/1.1 200");
            }
        });
    }

    /** Guards against a client that is never answered because the request that was not kept never ends. */
    @ParameterizedTest
    @ValueSource(strings = {"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\nhalf", "noise\r\n\r\n", "POST / HT"})
    void aClientThatEndsWithAnIncompleteRequestIsAnsweredAndClosed(String end) throws Exception {
        readMs = 0;
        byte[] sent = requests(600_000);
        int expected = new String(sent, StandardCharsets.ISO_8859_1).split("POST /v1", -1).length - 1;
        withGateway((gateway, port) -> {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                new Thread(() -> {
                    send(socket, sent);
                    send(socket, end.getBytes(StandardCharsets.ISO_8859_1));
                }).start();
                String answers = GatewayFixture.readAll(socket.getInputStream());
                assertThat(answers.split("HTTP/1\\.1 [2-5]", -1)).as(gateway.log()).hasSize(expected + 2);
            }
        });
    }

    private static int countAnswers(Socket socket, int expected) throws IOException {
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        StringBuilder received = new StringBuilder();
        int answers = 0;
        byte[] buffer = new byte[65_536];
        try {
            while (answers < expected) {
                int count = socket.getInputStream().read(buffer);
                if (count < 0) break;
                received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                answers = received.toString().split("HTTP/1\\.1 [2-5]", -1).length - 1;
            }
        } catch (SocketTimeoutException e) {
            return answers;
        }
        return answers;
    }
}
