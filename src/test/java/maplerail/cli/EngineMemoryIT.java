package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs a gateway process, with the heap that the deploy file gives it, beside hundreds of streams that make it hold
 * bytes of events that do not end.
 */
class EngineMemoryIT {
    private static final int BAD_STREAMS = 350;
    private static final int REQUESTS = 100;
    private static final int REQUESTS_BEFORE_TROUBLE = 5;
    private static final double INTERVAL_MS = 90;
    private static final String DEADLINE_S = "2.0";
    /** The deadline and the half second after it, from which on a request without an answer counts as lost. */
    private static final double MAX_ANSWER_MS = 2_500;
    private static final double END_TIMEOUT_MS = 5_000; // after the last event, by TERMS
    private static final int PATIENCE_MS = 15_000;
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"part\"}}]}\n\n";
    private static final String NOTHING_HELD = "UNREAD_ANSWER=0 UNFINISHED_EVENT=0 of ";
    private static final String BAD = "bad";

    @TempDir
    Path folder;

    /** What a writer sends behind its first event: the bytes at once, then a byte of text again and again. */
    enum BadStream {
        /** Most of what an event may have, in a chunk that never ends. */
        LARGE_EVENT_IN_A_CHUNK("40000\r\n", 250_000, "x"),
        /** The same in chunks that are complete. */
        LARGE_EVENT_IN_CHUNKS("", 250_000, "1\r\nx\r\n"),
        /** More than any event may have. */
        EVENT_OF_A_MEGABYTE("100000\r\n", 1_000_000, "x");

        private final String size;
        private final int bytes;
        private final String rest;

        BadStream(String size, int bytes, String rest) {
            this.size = size;
            this.bytes = bytes;
            this.rest = rest;
        }

        private void write(StandIn.Exchange exchange) throws IOException, InterruptedException {
            String text = "data: " + "y".repeat(bytes);
            exchange.write(size.isEmpty() ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : size + text);
            while (!exchange.isClosedByPeer()) {
                TimeUnit.MILLISECONDS.sleep(250);
                exchange.write(rest);
            }
        }
    }

    /** How a request ended: what its client received, and when that ended. */
    private record Ending(String id, String answer, double sentMs, double endMs) {
        boolean answeredInTime() {
            return answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n0\r\n\r\n")
                    || answer.startsWith("HTTP/1.1 ") && endMs - sentMs <= MAX_ANSWER_MS;
        }

        boolean served() {
            return answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n0\r\n\r\n");
        }

        @Override
        public String toString() {
            return id + ": '" + answer.lines().findFirst().orElse("nothing") + "' after " + Math.round(endMs - sentMs)
                    + " ms";
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Sends a request that does not tell how many tokens it allows, so that the largest events are allowed. */
    private static Ending ask(int port, String id) {
        double sentMs = nowMs();
        String answer = "";
        try (Socket socket = ClientMemoryIT.connect(port)) {
            socket.setSoTimeout(PATIENCE_MS);
            String request = GatewayFixture.request(id, "lookup", DEADLINE_S).replace(",max_out=100", "")
                    .replaceFirst("\r\n", "\r\nConnection: close\r\n");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            answer = GatewayFixture.readAll(socket.getInputStream());
        } catch (IOException e) {
            answer = "";
        }
        return new Ending(id, answer, sentMs, nowMs());
    }

    /** Guards against engines that fill the heap or take all processor time, so that usual requests go unanswered. */
    @ParameterizedTest
    @EnumSource
    void requestsAreAnsweredInTimeBesideHundredsOf(BadStream badStream) throws Exception {
        Map<String, Double> lastEventsMs = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(exchange -> {
                    String id = exchange.headers.getOrDefault("req-id", "");
                    exchange.startStream();
                    exchange.chunk(EVENT);
                    lastEventsMs.put(id, nowMs());
                    if (id.startsWith(BAD)) badStream.write(exchange);
                    exchange.chunk("data: [DONE]\n\n");
                    exchange.endStream();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            List<Future<Ending>> usual = new ArrayList<>();
            List<Future<Ending>> bad = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                if (i == REQUESTS_BEFORE_TROUBLE) {
                    for (int b = 0; b < BAD_STREAMS; b++) {
                        String id = BAD + b;
                        bad.add(clients.submit(() -> ask(port, id)));
                    }
                }
                String id = "usual" + i;
                usual.add(clients.submit(() -> ask(port, id)));
                GatewayFixture.pause(INTERVAL_MS);
            }
            List<Ending> endings = endings(usual);
            assertThat(endings).hasSize(REQUESTS).allMatch(Ending::answeredInTime);
            assertThat(endings(bad)).noneMatch(Ending::served).allMatch(ending -> !lastEventsMs.containsKey(ending.id())
                    || ending.endMs() - lastEventsMs.get(ending.id()) <= END_TIMEOUT_MS);
            assertThat(ask(port, "after").answer()).as("once the bad streams have ended").startsWith("HTTP/1.1 200");
            gateway.signal("TERM");
            await("the gateway has ended", () -> !gateway.process().isAlive());
            assertThat(gateway.log()).contains(NOTHING_HELD);
        } finally {
            clients.shutdownNow();
        }
    }

    private static List<Ending> endings(List<Future<Ending>> asked) throws Exception {
        List<Ending> endings = new ArrayList<>();
        for (Future<Ending> ending : asked) endings.add(ending.get());
        return endings;
    }
}
