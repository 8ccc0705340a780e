package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import maplerail.support.FullBacklog;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a gateway process with requests of which one stage takes longer than their deadline. Guards against a final
 * answer that is missing or late by the client's clock, from the first byte sent to the last byte received.
 */
class FinalAnswerIT {
    /**
     * After a request's deadline. An answer until then only scores nothing; STANDING counts a later one as a lost
     * request.
     */
    private static final double MAX_LATE_MS = 500;
    private static final double[] DEADLINES_S = {0.6, 1.5};
    private static final String[] KINDS = {"lookup", "repair-order"};
    private static final int PIECE_INTERVAL_MS = 40; // between two pieces of a stuck answer
    private static final int READ_MARGIN_MS = 50; // a late reader answers this long before its deadline
    private static final int STOP_MS = 600; // longer than MAX_LATE_MS
    private static final int TEST_TIMEOUT_S = 30; // only a limit for a test that hangs
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    /** An answer of an engine that starts with one text and then repeats another one, or stalls if that is empty. */
    private record StuckAnswer(String firstText, String piece) {
        void handle(StandIn.Exchange x) throws Exception {
            x.write(firstText);
            while (!piece.isEmpty() && !x.isClosedByPeer()) {
                x.write(piece);
                TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            }
            x.awaitClose();
        }
    }

    private static final StuckAnswer NO_ANSWER = new StuckAnswer("", "");

    private static Stream<StuckAnswer> stuckReads() {
        return Stream.of(NO_ANSWER,
                new StuckAnswer("", "HTTP/1.1 102 Processing\r\n\r\n"),
                new StuckAnswer("HTTP/1.1 202 Accepted\r\nX-Noise: ", "n"),
                new StuckAnswer("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n", ""));
    }

    private static Stream<StuckAnswer> stuckWrites() {
        return Stream.of(NO_ANSWER,
                new StuckAnswer("", "HTTP/1.1 102 Processing\r\n\r\n"),
                new StuckAnswer("HTTP/1.1 200 OK\r\nContent-", ""),
                new StuckAnswer("HTTP/1.1 200 OK\r\nX-Noise: ", "n"),
                new StuckAnswer("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 9999\r\n\r\n", "n"),
                new StuckAnswer(STREAM_HEAD, ""),
                new StuckAnswer(STREAM_HEAD + "40\r\ndata: {\"choices\"", ""),
                new StuckAnswer(STREAM_HEAD + "FFFF0\r\ndata: ", "n"),
                new StuckAnswer(STREAM_HEAD, "6\r\ndata: \r\n"));
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static void read(StandIn.Exchange x) throws IOException {
        x.reply(202, "{\"cached_tokens\":0}");
    }

    private static void readLate(StandIn.Exchange x) throws Exception {
        double deadlineMs = 1_000 * Double.parseDouble(x.headers.get("req-deadline"));
        TimeUnit.MILLISECONDS.sleep(Math.max(0, Math.round(deadlineMs) - READ_MARGIN_MS));
        read(x);
    }

    /** An engine that answers releases at once, and passes all other calls to a handler. */
    private static StandIn engine(StandIn.Handler answer) throws Exception {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else answer.handle(x);
        });
    }

    /** The outcome for a client: the status line, and how long after the deadline the last byte arrived. */
    private record Outcome(String statusLine, double lateMs) {}

    private static Outcome send(int port, String id, String kind, double deadlineS) {
        try (Socket client = new Socket("127.0.0.1", port)) {
            double sentMs = nowMs();
            client.getOutputStream().write(GatewayFixture.request(id, kind, String.valueOf(deadlineS))
                    .replaceFirst("\r\n", "\r\nConnection: close\r\n").getBytes(StandardCharsets.UTF_8));
            String answer = GatewayFixture.readAll(client.getInputStream());
            return new Outcome(answer.lines().findFirst().orElse("none"), nowMs() - sentMs - 1_000 * deadlineS);
        } catch (IOException e) {
            return new Outcome(e.toString(), Double.NaN);
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a request for each kind and each deadline, all at the same time. */
    private static Map<String, CompletableFuture<Outcome>> sendAll(int port) {
        Map<String, CompletableFuture<Outcome>> outcomes = new TreeMap<>();
        for (String kind : KINDS) {
            for (double deadlineS : DEADLINES_S) {
                String id = kind + "-" + deadlineS;
                outcomes.put(id,
                        CompletableFuture.supplyAsync(() -> send(port, id, kind, deadlineS),
                                FinalAnswerIT::startDaemon));
            }
        }
        return outcomes;
    }

    private static void assertInTime(Map<String, CompletableFuture<Outcome>> outcomes, GatewayProgram gateway)
            throws Exception {
        for (Map.Entry<String, CompletableFuture<Outcome>> entry : outcomes.entrySet()) {
            Outcome outcome = entry.getValue().get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(outcome.statusLine()).as("answer to %s%n%s", entry.getKey(), gateway.log())
                    .matches("HTTP/1.1 (429|5..) .*");
            assertThat(outcome.lateMs()).as("ms that the answer to %s was late%n%s", entry.getKey(), gateway.log())
                    .isLessThanOrEqualTo(MAX_LATE_MS);
        }
    }

    private void assertAnsweredInTime(StandIn.Handler reader, StandIn.Handler writer) throws Exception {
        try (StandIn reads = engine(reader);
                StandIn writes = engine(writer);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reads).engine("w", "decode",
                        writes);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            assertInTime(sendAll(gateway.readyPort()), gateway);
        }
    }

    @ParameterizedTest
    @MethodSource("stuckReads")
    void aRequestWhoseReadIsStuckGetsItsFinalAnswer(StuckAnswer answer) throws Exception {
        assertAnsweredInTime(answer::handle, NO_ANSWER::handle);
    }

    @ParameterizedTest
    @MethodSource("stuckWrites")
    void aRequestWhoseWriteIsStuckGetsItsFinalAnswer(StuckAnswer answer) throws Exception {
        assertAnsweredInTime(FinalAnswerIT::read, answer::handle);
    }

    @Test
    void aRequestWhoseReadEndsShortlyBeforeItsDeadlineGetsItsFinalAnswer() throws Exception {
        assertAnsweredInTime(FinalAnswerIT::readLate, NO_ANSWER::handle);
    }

    @Test
    void aRequestWhoseWriterAcceptsNoConnectionGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                FullBacklog writer = new FullBacklog();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer.address(),
                        "in_service");
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            assertInTime(sendAll(gateway.readyPort()), gateway);
        }
    }

    @Test
    void aRequestWithoutAWriterGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer,
                        "terminating");
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            assertInTime(sendAll(gateway.readyPort()), gateway);
        }
    }

    /** The deadline counts from when the request was sent, not from when the gateway reads it. */
    @Test
    void aRequestSentWhileTheProcessIsStoppedGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                StandIn writer = engine(NO_ANSWER::handle);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            gateway.signal("STOP");
            Map<String, CompletableFuture<Outcome>> outcomes = sendAll(port);
            GatewayFixture.pause(STOP_MS);
            gateway.signal("CONT");
            assertInTime(outcomes, gateway);
        }
    }
}
