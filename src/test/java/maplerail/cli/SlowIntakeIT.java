package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.SlowIntakeEngine;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs a gateway process with engines that take in large requests slowly or stop in the middle of them. */
class SlowIntakeIT {
    private static final int BODY_BYTES = 250_000;
    private static final int NEVER = Integer.MAX_VALUE;
    private static final int FAST = 1 << 28;
    private static final double LATE_MS = 500; // after its time an answer counts as lost, by STANDING
    private static final double OWN_SLACK_MS = 150; // for the threads of this test
    private static final int REQUESTS = 12;
    private static final int ANSWER_TIMEOUT_MS = 15_000;
    private static final String READ = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\nf\r\ndata: {\"a\":1}\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

    @TempDir
    Path folder;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static String request(String id, String kind, double deadlineS) {
        String body = "x".repeat(BODY_BYTES);
        return GatewayFixture.request(id, kind, "" + deadlineS)
                .replaceFirst("(?s)Content-Length.*", "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends a request and returns how long after its last byte the final answer came, or infinity if none did. */
    private static double answerMs(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            double sentMs = nowMs();
            int first = socket.getInputStream().read();
            return first < 0 ? Double.POSITIVE_INFINITY : nowMs() - sentMs;
        } catch (SocketTimeoutException e) {
            return Double.POSITIVE_INFINITY;
        }
    }

    /** Guards against a final answer that waits for an engine to take in the request. */
    @ParameterizedTest
    @CsvSource({"read,1000,,repair-order,2", "read,5000,,lookup,4", "read,100000,70000,lookup,1",
            "write,30000,,repair-order,2", "write,100000,70000,lookup,1", "write,100000,0,repair-order,2"})
    void aLargeRequestThatAnEngineTakesInSlowlyHasItsFinalAnswerInTime(String stage, int bytesPerSecond,
            Integer stopsAfter,
            String kind, double deadlineS) throws Exception {
        int stop = stopsAfter == null ? NEVER : stopsAfter;
        boolean slowReads = stage.equals("read");
        try (SlowIntakeEngine reader = new SlowIntakeEngine(slowReads ? bytesPerSecond : FAST, slowReads ? stop : NEVER,
                READ);
                SlowIntakeEngine writer = new SlowIntakeEngine(slowReads ? FAST : bytesPerSecond,
                        slowReads ? NEVER : stop,
                        STREAM);
                GatewayFixture fixture = new GatewayFixture()
                        .engine("r", "prefill", reader.address(), "in_service")
                        .engine("w", "decode", writer.address(), "in_service");
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
            List<Future<Double>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String request = request("s" + i, kind, deadlineS);
                answers.add(clients.submit(() -> answerMs(port, request)));
                GatewayFixture.pause(100);
            }
            List<Double> timesMs = new ArrayList<>();
            for (Future<Double> answer : answers) timesMs.add(answer.get());
            clients.shutdown();
            assertThat(timesMs).as(gateway.log()).allMatch(ms -> ms <= deadlineS * 1_000 + LATE_MS + OWN_SLACK_MS);
        }
    }
}
