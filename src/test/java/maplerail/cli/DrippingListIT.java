package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateway processes whose watch gets an answer that keeps coming and never ends, while an engine begins to drain. */
class DrippingListIT {
    private static final double TOLD_MS = 6_000; // after discovery had a change and could be reached, by STANDING
    private static final double DRAIN_GRACE_MS = 250;
    private static final int REQUEST_INTERVAL_MS = 100;
    private static final double PLAYED_MS = 9_000;
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIXED = "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n";

    /** What the agent sends at once, and what it repeats. */
    private record Drip(String begin, String rest) {}

    private static final Map<String, Drip> DRIPS = new TreeMap<>(Map.of(
            "fields", new Drip("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
            "a field", new Drip("HTTP/1.1 200 OK\r\nX-A: ", "b"),
            "a size", new Drip(CHUNKED, "0"),
            "an extension", new Drip(CHUNKED + "10;", "x"),
            "blanks of a body", new Drip(FIXED, " "),
            "blanks of a large chunk", new Drip(CHUNKED + "ffff\r\n{", " "),
            "a list in a large chunk", new Drip(CHUNKED + "ffff\r\n{\"seq\":9,\"whole\":true,\"hosts\":[", "{},"),
            "a list in a body", new Drip(FIXED + "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"", "x")));

    @TempDir
    Path folder;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** An agent whose first watch drips; later calls tell that the second writer drains. */
    private static final class DrippingAgent implements AutoCloseable {
        private final StandIn server;
        private volatile double dripStartMs = Double.NaN;
        private volatile String list;
        private volatile String change;

        DrippingAgent(Drip drip) throws Exception {
            server = new StandIn(call -> {
                if (change == null || call.target.endsWith("wait=0") || !call.target.contains("index=")) {
                    call.reply(200, Double.isNaN(dripStartMs) ? list : change);
                } else if (Double.isNaN(dripStartMs)) {
                    dripStartMs = nowMs();
                    call.write(drip.begin());
                    while (!call.isClosedByPeer()) {
                        TimeUnit.MILLISECONDS.sleep(250);
                        call.write(drip.rest());
                    }
                } else if (call.target.contains("index=9&")) {
                    call.awaitClose();
                } else {
                    call.reply(200, change);
                }
            });
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Plays one form and returns when requests reached the draining writer, in ms after the change. */
    private List<Double> play(Path directory, Drip drip) throws Exception {
        List<Double> writesMs = new CopyOnWriteArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn stays = GatewayFixture.writer();
                StandIn drains = new StandIn(exchange -> {
                    if (exchange.method.equals("POST")) writesMs.add(exchange.firstByteMs);
                    exchange.startStream();
                    exchange.chunk("data: [DONE]\n\n");
                    exchange.endStream();
                });
                DrippingAgent agent = new DrippingAgent(drip);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", stays).engine("w2", "decode", drains).withDiscovery(agent.server)) {
            String config = fixture.config("127.0.0.1:0");
            agent.list = config.replaceFirst("(?s).*\"known\":(\\{.*?\\]\\}),.*", "$1");
            fixture.engine("w2", "decode", drains, "terminating");
            agent.change = fixture.config("127.0.0.1:0").replaceFirst("(?s).*\"known\":(\\{.*?\\]\\}),.*", "$1")
                    .replaceFirst("\"seq\":\\d+", "\"seq\":9");
            try (GatewayProgram gateway = GatewayProgram.serve(directory, config)) {
                gateway.readyPort();
                GatewayFixture.await("dripping", () -> !Double.isNaN(agent.dripStartMs));
                for (int i = 0; nowMs() < agent.dripStartMs + PLAYED_MS; i++) {
                    gateway.exchange(GatewayFixture.request("a" + i, "lookup", "5.0"));
                    GatewayFixture.pause(REQUEST_INTERVAL_MS);
                }
                assertThat(stays.count("POST")).as(gateway.log()).isPositive();
                assertThat(writesMs).as("the writer is used before it drains").isNotEmpty();
                return writesMs.stream().map(writtenMs -> writtenMs - agent.dripStartMs).toList();
            }
        }
    }

    /** Guards against taking an answer of discovery that never ends for one that arrives, and missing changes behind it. */
    @Test
    void aChangeIsKnownInTimeThoughTheAnswerToAWatchNeverEnds() throws Exception {
        ExecutorService players = Executors.newCachedThreadPool();
        try {
            Map<String, Future<List<Double>>> plays = new TreeMap<>();
            for (Map.Entry<String, Drip> drip : DRIPS.entrySet()) {
                Path directory = Files.createDirectory(folder.resolve("gateway" + plays.size()));
                plays.put(drip.getKey(), players.submit(() -> play(directory, drip.getValue())));
            }
            Map<String, List<Double>> late = new TreeMap<>();
            for (Map.Entry<String, Future<List<Double>>> play : plays.entrySet()) {
                List<Double> lateMs = play.getValue().get().stream().filter(ms -> ms > TOLD_MS + DRAIN_GRACE_MS)
                        .toList();
                if (!lateMs.isEmpty()) late.put(play.getKey(), lateMs);
            }
            assertThat(late).isEmpty();
        } finally {
            players.shutdownNow();
        }
    }
}
