package maplerail.discovery;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.cli.Gateway;
import maplerail.config.NodeConfig;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;

class PlatformWatchTest {
    private static final double REUSE_DELAY_MS = 50; // after which a connection to the agent is used again
    private static final int CALLS_BEFORE_SILENCE = 6;
    private static final double KNOWN_AFTER_SILENCE_MS = 6_000;

    /**
     * Guards against keeping an overloaded discovery overloaded, by whole lists requested after a refused watch or by
     * calls without a pause.
     */
    @Test
    void refusedWatchContinuesFromTheKnownListAndBacksOff() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    atNanos.add(System.nanoTime());
                    if (atNanos.size() > 1) x.reply(503, "overloaded");
                    else x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            fixture.start();
            await("repeated calls", () -> atNanos.size() >= 4);
            assertThat(agent.seen.subList(1, 4)).allMatch(seen -> seen.startsWith("GET /api/targets?index=7&"));
            // Two delays of 50 ms at least.
            assertThat(atNanos.get(3) - atNanos.get(1)).isGreaterThan(99_000_000L);
        }
    }

    @Test
    void invalidListIsIgnoredAndRequestedAgain() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    switch (requestCount.incrementAndGet()) {
                        case 1 -> x.reply(200, "{\"seq\":7,\"whole\":false,\"hosts\":[]}");
                        case 2 -> x.reply(200, "{\"seq\":8,\"whole\":true,\"hosts\":");
                        case 3 -> x.reply(200, "{\"seq\":-8,\"whole\":true,\"hosts\":[]}");
                        case 4 -> x.reply(200, "[]");
                        case 5 -> x.reply(200, "{\"whole\":true,\"hosts\":[]}");
                        default -> x.awaitClose();
                    }
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            fixture.start();
            await("called again", () -> requestCount.get() >= 6);
            assertThat(agent.seen.subList(2, 6)).as("requests for the whole list").containsOnly("GET /api/targets");
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    /** A change missed by a silent call counts as known to the node 6 s after the call fell silent. */
    @Test
    void silentCallIsReplacedBeforeMissedChangesCountAsKnown() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    atNanos.add(System.nanoTime());
                    if (atNanos.size() > 1) x.awaitClose();
                    else x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            fixture.start();
            await("called on a new connection", () -> atNanos.size() >= 3);
            assertThat(atNanos.get(2) - atNanos.get(1)).isLessThan(4_500_000_000L);
        }
    }

    /** Guards against a watch that goes on over another silent connection, and learns of a drain too late. */
    @Test
    void watchContinuesInTimeThoughAllConnectionsToItsAgentFallSilent() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        BlockingQueue<Long> silentNanos = GatewayFixture.queue();
        BlockingQueue<Long> answeredNanos = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    int call = calls.incrementAndGet();
                    GatewayFixture.pause(REUSE_DELAY_MS);
                    if (call <= CALLS_BEFORE_SILENCE) {
                        x.reply(200, "{\"seq\":" + (7 + call) + ",\"whole\":true,\"hosts\":[]}");
                        return;
                    }
                    if (x.number == 0) answeredNanos.add(System.nanoTime());
                    else silentNanos.add(System.nanoTime());
                    x.awaitClose();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            fixture.start();
            long silentSince = take(silentNanos);
            assertThat(agent.connections()).as("connections that fall silent").isGreaterThanOrEqualTo(2);
            assertThat((take(answeredNanos) - silentSince) / 1e6).isLessThan(KNOWN_AFTER_SILENCE_MS);
        }
    }

    /** A large list from a slow or overloaded discovery takes longer than the timeout of a call. */
    @Test
    void listThatKeepsArrivingIsAccepted() throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
        try (StandIn agent = new StandIn(x -> {
            if (!x.target.equals("/api/targets")) x.awaitClose();
            x.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            x.writeSlowly(list, 5_000);
        }); GatewayFixture fixture = new GatewayFixture().withDiscovery(agent)) {
            String unknown = fixture.config("127.0.0.1:0").replaceFirst("\"known\":\\{.*?\\]\\},", "");
            assertThat(unknown).doesNotContain("known");
            Gateway gateway = new Gateway(NodeConfig.read(unknown, Map.of()), null);
            try {
                gateway.start();
                await("call for changes", () -> agent.count("GET /api/targets?index=7&") > 0);
                assertThat(agent.count("GET /api/targets")).as("one whole list").isEqualTo(2);
            } finally {
                gateway.stop();
            }
        }
    }

    /** A site's limit on held states does not apply to this response either. */
    @Test
    void listInASlowlyArrivingChunkIsAccepted() throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
        AtomicInteger requestCount = new AtomicInteger();
        try (StandIn agent = new StandIn(x -> {
            if (requestCount.incrementAndGet() > 1) {
                x.awaitClose();
                return;
            }
            x.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            x.writeSlowly(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n0\r\n\r\n", 1_000);
        }); GatewayFixture fixture = new GatewayFixture().withDiscovery(agent)) {
            fixture.startWithoutWaiting();
            await("called again", () -> requestCount.get() > 1);
            assertThat(agent.seen.get(1)).startsWith("GET /api/targets?index=7&");
        }
    }

    /** A partial response does not exempt a call from the limit on silence. */
    @Test
    void stalledListIsRequestedAgainBeforeMissedChangesCountAsKnown() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn agent = new StandIn(x -> {
            atNanos.add(System.nanoTime());
            if (atNanos.size() == 1) x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
            else x.write("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":9,");
            if (atNanos.size() > 1) x.awaitClose();
        }); GatewayFixture fixture = new GatewayFixture().withDiscovery(agent)) {
            fixture.start();
            await("called on a new connection", () -> atNanos.size() >= 3);
            assertThat(atNanos.get(2) - atNanos.get(1)).isLessThan(4_500_000_000L);
        }
    }

    /** All nodes restart at once in a rollout, and each whole list takes capacity of an overloaded discovery. */
    @Test
    void nodeContinuesFromItsKnownList() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            fixture.start();
            await("first call", () -> fixture.discovery().seen.size() > 0);
            assertThat(fixture.discovery().seen.get(0)).startsWith("GET /api/targets?index=3&");
        }
    }

    /** With pushed lists, what the agent holds counts as known before the first request arrives. */
    @Test
    void nodeIsNotReadyOnAnOldListBeforeItsAgentConfirmsIt() throws Exception {
        BlockingQueue<StandIn.Exchange> firstRequests = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.endsWith("wait=0")) firstRequests.add(x);
                    else x.awaitClose();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other).withDiscovery(agent)) {
            fixture.startWithoutWaiting();
            StandIn.Exchange firstRequest = take(firstRequests);
            assertThat(fixture.gateway.phase()).isEqualTo(Phase.STARTING);
            Socket client = fixture.connect();
            String ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            client.getOutputStream().write(ready.getBytes(StandardCharsets.UTF_8));
            assertThat(new String(client.getInputStream().readNBytes(12), StandardCharsets.UTF_8)).endsWith("503");
            firstRequest.reply(200, "{\"seq\":9,\"whole\":false,\"hosts\":[{\"host\":\"w1\",\"dial\":\""
                    + writer.address()
                    + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"terminating\"}]}");
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            String closingRequest = ready.replaceFirst("\r\n", "\r\nConnection: close\r\n");
            client.getOutputStream().write(closingRequest.getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readAll(client.getInputStream())).as("the early connection stays open")
                    .contains("HTTP/1.1 200");
            client.close();
            for (int i = 0; i < 10; i++) {
                assertThat(fixture.exchange(request("a" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(writer.count("POST")).isZero();
        }
    }

    /**
     * Guards against a failure found on the large herd day: a client reached a restarted gateway before its agent's
     * response did. Its request must not be sent to an engine that has begun to drain in the meantime.
     */
    @Test
    void requestBeforeTheFirstAgentResponseWaitsForTheList() throws Exception {
        BlockingQueue<StandIn.Exchange> firstRequests = GatewayFixture.queue();
        try (StandIn draining = GatewayFixture.reader();
                StandIn started = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.endsWith("wait=0")) firstRequests.add(x);
                    else x.awaitClose();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r1", "prefill", draining)
                        .engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            fixture.startWithoutWaiting();
            StandIn.Exchange firstRequest = take(firstRequests);
            try (Socket client = fixture.connect()) {
                String closingRequest = request("a1", "lookup", "5.0").replaceFirst("\r\n",
                        "\r\nConnection: close\r\n");
                client.getOutputStream().write(closingRequest.getBytes(StandardCharsets.UTF_8));
                await("request accepted", () -> fixture.gateway.retainedRequests() == 1);
                firstRequest.reply(200,
                        "{\"seq\":9,\"whole\":false,\"hosts\":[" + host("r1", draining, "terminating") + ","
                                + host("r2", started, "in_service") + "]}");
                assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 200");
            }
            assertThat(draining.count("POST")).isZero();
        }
    }

    private static String host(String name, StandIn at, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + at.address()
                + "\",\"site\":\"caerdydd\",\"class\":\"prefill\",\"block\":1,\"health\":\"" + health + "\"}";
    }

    /** Guards against a new agent that has not yet received a change and lists a draining engine as ready again. */
    @Test
    void olderListIsRejectedAfterASwitchOfAgents() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", writer, "terminating")
                        .engine("w2", "decode", other);
                StandIn agent = new StandIn(x -> x.reply(200, requestCount.incrementAndGet() > 3
                        ? "{\"seq\":9,\"whole\":false,\"hosts\":[]}"
                        : "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w1\",\"dial\":\"" + writer.address()
                                + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"in_service\"}]}"));
                GatewayFixture otherFixture = new GatewayFixture().withDiscovery(agent)) {
            fixture.start();
            await("the first list received", () -> fixture.discovery().count("GET /api/targets?index=") > 0);
            fixture.gateway.reload(NodeConfig.read(otherFixture.config("127.0.0.1:0"), Map.of()));
            await("called again", () -> requestCount.get() > 4);
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(writer.count("POST")).isZero();
        }
    }

    /** Guards against a new agent that is behind for long, whose list puts a draining engine back into service. */
    @Test
    void aDrainingEngineStaysOutOfServiceHoweverLongTheNewAgentIsBehind() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", writer, "terminating");
                StandIn agent = new StandIn(x -> {
                    if (!x.target.equals("/api/targets")) x.awaitClose();
                    x.reply(200, "{\"seq\":1,\"whole\":true,\"hosts\":[" + host("r", reader, "in_service") + ","
                            + host("w1", writer, "in_service").replace("prefill", "decode") + "]}");
                });
                GatewayFixture otherFixture = new GatewayFixture().withDiscovery(agent)) {
            fixture.start();
            await("the first list received", () -> fixture.discovery().count("GET /api/targets?index=") > 0);
            fixture.gateway.reload(NodeConfig.read(otherFixture.config("127.0.0.1:0"), Map.of()));
            await("the older list is taken", () -> agent.count("GET /api/targets?index=1&") > 0);
            assertThat(fixture.exchange(request("a1", "lookup", "0.5"))).startsWith("HTTP/1.1 5");
            assertThat(writer.count("POST")).isZero();
        }
    }
}
