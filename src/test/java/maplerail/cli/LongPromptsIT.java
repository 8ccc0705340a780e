package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a gateway process, with the heap that the deploy file gives it, under many usual clients with long prompts. */
class LongPromptsIT {
    private static final int BODY_BYTES = 244_000; // a body may have 256 KiB
    private static final int REQUESTS = 240; // at once; clients may hold a third of 1,024 descriptors
    private static final double INTERVAL_MS = 12;
    private static final String DEADLINE_S = "3.0";
    /** The deadline and the half second after it, from which on a request without an answer counts as lost. */
    private static final double MAX_ANSWER_MS = 3_500;
    private static final int PATIENCE_MS = 10_000;
    private static final int STACK_BYTES = 256 * 1_024;
    private static final String EVENT = "data: {\"a\":1}\n\n";
    private static final int EVENT_INTERVAL_MS = 500;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    @TempDir
    Path folder;

    private record Ending(String id, String answer, double firstByteMs) {
        @Override
        public String toString() {
            return id + ": '" + answer.lines().findFirst().orElse("nothing") + "' after " + Math.round(firstByteMs)
                    + " ms, " + answer.length() + " bytes";
        }
    }

    private static Ending ask(int port, String id) {
        String body = "a".repeat(BODY_BYTES);
        String request = GatewayFixture.request(id, "lookup", DEADLINE_S)
                .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                .replaceFirst("(?s)Content-Length: .*", "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body);
        double startMs = System.nanoTime() / 1e6;
        double firstByteMs = Double.NaN;
        String answer = "";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            answer = GatewayFixture.readUntil(socket, "\r\n");
            firstByteMs = System.nanoTime() / 1e6 - startMs;
            answer += GatewayFixture.readAll(socket.getInputStream());
        } catch (IOException e) {
            answer += "<" + e.getMessage() + ">";
        }
        return new Ending(id, answer, firstByteMs);
    }

    /** Sends all requests, and returns how they end. */
    private static List<Ending> askAll(int port) throws InterruptedException {
        List<Ending> endings = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "long" + i;
            Thread client = new Thread(null, () -> endings.add(ask(port, id)), id, STACK_BYTES);
            client.setDaemon(true);
            client.start();
            clients.add(client);
            GatewayFixture.pause(INTERVAL_MS);
        }
        for (Thread client : clients) client.join();
        return endings;
    }

    /** Guards against payloads that fill the heap because they are kept, or copied, while their streams run. */
    @Test
    void manyStreamsOfLongPromptsAreServedAtOnce() throws Exception {
        CountDownLatch allStarted = new CountDownLatch(REQUESTS);
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(exchange -> {
                    exchange.startStream();
                    exchange.chunk(EVENT);
                    allStarted.countDown();
                    while (!allStarted.await(EVENT_INTERVAL_MS, TimeUnit.MILLISECONDS)) exchange.chunk(EVENT);
                    exchange.chunk("data: [DONE]\n\n");
                    exchange.endStream();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            List<Ending> endings = askAll(gateway.readyPort());
            assertThat(endings).hasSize(REQUESTS).allMatch(
                    e -> e.answer().startsWith("HTTP/1.1 200") && e.answer().endsWith(LAST_CHUNK));
            assertThat(gateway.process().isAlive()).isTrue();
        }
    }

    /** Guards against requests that wait for slow engines and fill the heap, so that none is answered any more. */
    @Test
    void longPromptsAreAnsweredInTimeThoughEnginesAnswerNone() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(StandIn.Exchange::awaitClose);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            List<Ending> endings = askAll(gateway.readyPort());
            assertThat(endings).hasSize(REQUESTS)
                    .allMatch(e -> e.answer().startsWith("HTTP/1.1 ") && e.firstByteMs() <= MAX_ANSWER_MS);
            await("the gateway answers on", () -> gateway.exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    .startsWith("HTTP/1.1 200"));
        }
    }
}
