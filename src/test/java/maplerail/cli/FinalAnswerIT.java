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
 * A real gateway process, and requests of which one stage lasts past the time of their client. Guards against a request
 * without its final answer in time, as its client counts: from the first byte sent to the last one received.
 */
class FinalAnswerIT {
    /** After a request's time, until which its answer only earns nothing; by STANDING a later one is a lost request. */
    private static final double LATE_MS = 500;
    private static final double[] BUDGETS_S = {0.6, 1.5};
    private static final String[] KINDS = {"lookup", "repair-order"};
    private static final int PIECE_MS = 40; // between two pieces of an answer that does not end
    private static final int BEFORE_ITS_END_MS = 50; // of the time that a reader was told, when it answers late
    private static final int STOPPED_FOR_MS = 600; // longer than an answer may be late
    private static final int TEST_S = 30; // only ends a test that would never end
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    /** An engine's answer that begins like this, and then goes on with a piece again and again, or is silent. */
    private record StuckAnswer(String begin, String piece) {
        void give(StandIn.Exchange x) throws Exception {
            x.write(begin);
            while (!piece.isEmpty() && !x.isClosedByPeer()) {
                x.write(piece);
                TimeUnit.MILLISECONDS.sleep(PIECE_MS);
            }
            x.awaitClose();
        }
    }

    private static final StuckAnswer NONE = new StuckAnswer("", "");

    private static Stream<StuckAnswer> reads() {
        return Stream.of(NONE,
                new StuckAnswer("", "HTTP/1.1 102 Processing\r\n\r\n"),
                new StuckAnswer("HTTP/1.1 202 Accepted\r\nX-Noise: ", "n"),
                new StuckAnswer("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n", ""));
    }

    private static Stream<StuckAnswer> writes() {
        return Stream.of(NONE,
                new StuckAnswer("", "HTTP/1.1 102 Processing\r\n\r\n"),
                new StuckAnswer("HTTP/1.1 200 OK\r\nContent-", ""),
                new StuckAnswer("HTTP/1.1 200 OK\r\nX-Noise: ", "n"),
                new StuckAnswer("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 9999\r\n\r\n", "n"),
                new StuckAnswer(STREAM, ""),
                new StuckAnswer(STREAM + "40\r\ndata: {\"choices\"", ""),
                new StuckAnswer(STREAM + "FFFF0\r\ndata: ", "n"),
                new StuckAnswer(STREAM, "6\r\ndata: \r\n"));
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static void read(StandIn.Exchange x) throws IOException {
        x.reply(202, "{\"cached_tokens\":0}");
    }

    private static void readLate(StandIn.Exchange x) throws Exception {
        double toldMs = 1_000 * Double.parseDouble(x.headers.get("req-deadline"));
        TimeUnit.MILLISECONDS.sleep(Math.max(0, Math.round(toldMs) - BEFORE_ITS_END_MS));
        read(x);
    }

    /** An engine that answers calls which let something go as it should, and all others as told. */
    private static StandIn engine(StandIn.Handler answer) throws Exception {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else answer.handle(x);
        });
    }

    /** What a client saw: the first line of its answer, and by how much the last byte was past the client's time. */
    private record Seen(String first, double lateMs) {}

    private static Seen ask(int port, String id, String kind, double budgetS) {
        try (Socket client = new Socket("127.0.0.1", port)) {
            double sentMs = nowMs();
            client.getOutputStream().write(GatewayFixture.request(id, kind, String.valueOf(budgetS))
                    .replaceFirst("\r\n", "\r\nConnection: close\r\n").getBytes(StandardCharsets.UTF_8));
            String answer = GatewayFixture.readAll(client.getInputStream());
            return new Seen(answer.lines().findFirst().orElse("none"), nowMs() - sentMs - 1_000 * budgetS);
        } catch (IOException e) {
            return new Seen(e.toString(), Double.NaN);
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** Asks at once for each kind and each time. */
    private static Map<String, CompletableFuture<Seen>> askAll(int port) {
        Map<String, CompletableFuture<Seen>> asked = new TreeMap<>();
        for (String kind : KINDS) {
            for (double budgetS : BUDGETS_S) {
                String id = kind + "-" + budgetS;
                asked.put(id,
                        CompletableFuture.supplyAsync(() -> ask(port, id, kind, budgetS), FinalAnswerIT::start));
            }
        }
        return asked;
    }

    private static void assertInTime(Map<String, CompletableFuture<Seen>> asked, GatewayProgram gateway)
            throws Exception {
        for (Map.Entry<String, CompletableFuture<Seen>> one : asked.entrySet()) {
            Seen seen = one.getValue().get(TEST_S, TimeUnit.SECONDS);
            assertThat(seen.first()).as("answer to %s%n%s", one.getKey(), gateway.log())
                    .matches("HTTP/1.1 (429|5..) .*");
            assertThat(seen.lateMs()).as("ms that the answer to %s was late%n%s", one.getKey(), gateway.log())
                    .isLessThanOrEqualTo(LATE_MS);
        }
    }

    private void assertAnsweredInTime(StandIn.Handler reader, StandIn.Handler writer) throws Exception {
        try (StandIn reads = engine(reader);
                StandIn writes = engine(writer);
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reads).engine("w", "decode", writes);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            assertInTime(askAll(gateway.readyPort()), gateway);
        }
    }

    @ParameterizedTest
    @MethodSource("reads")
    void aRequestWhoseReadIsStuckGetsItsFinalAnswer(StuckAnswer answer) throws Exception {
        assertAnsweredInTime(answer::give, NONE::give);
    }

    @ParameterizedTest
    @MethodSource("writes")
    void aRequestWhoseWriteIsStuckGetsItsFinalAnswer(StuckAnswer answer) throws Exception {
        assertAnsweredInTime(FinalAnswerIT::read, answer::give);
    }

    @Test
    void aRequestThatIsReadAtTheEndOfItsTimeGetsItsFinalAnswer() throws Exception {
        assertAnsweredInTime(FinalAnswerIT::readLate, NONE::give);
    }

    @Test
    void aRequestWhoseWriterTakesNoConnectionGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                FullBacklog writer = new FullBacklog();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer.address(),
                        "in_service");
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            assertInTime(askAll(gateway.readyPort()), gateway);
        }
    }

    @Test
    void aRequestThatHasNoWriterGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer, "terminating");
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            assertInTime(askAll(gateway.readyPort()), gateway);
        }
    }

    /** Its client's time runs from when it was sent, not from when the gateway came to read it. */
    @Test
    void aRequestThatCameWhileTheProcessStoodStillGetsItsFinalAnswer() throws Exception {
        try (StandIn reader = engine(FinalAnswerIT::read);
                StandIn writer = engine(NONE::give);
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            gateway.signal("STOP");
            Map<String, CompletableFuture<Seen>> asked = askAll(port);
            GatewayFixture.pause(STOPPED_FOR_MS);
            gateway.signal("CONT");
            assertInTime(asked, gateway);
        }
    }
}
