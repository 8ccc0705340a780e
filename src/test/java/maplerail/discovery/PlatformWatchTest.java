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
    /** Whole lists in place of a watch that was turned away, and calls without a pause, keep discovery overloaded. */
    @Test
    void aWatchThatIsTurnedAwayGoesOnFromWhatWasToldAndBacksOff() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    atNanos.add(System.nanoTime());
                    if (atNanos.size() > 1) x.reply(503, "overloaded");
                    else x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
                });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            world.start();
            await("asked again and again", () -> atNanos.size() >= 4);
            assertThat(agent.seen.subList(1, 4)).allMatch(seen -> seen.startsWith("GET /api/targets?index=7&"));
            // Two waits, of 50 ms at least.
            assertThat(atNanos.get(3) - atNanos.get(1)).isGreaterThan(99_000_000L);
        }
    }

    @Test
    void aListThatCannotBeReadChangesNothingAndIsAskedForAgain() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    switch (asked.incrementAndGet()) {
                        case 1 -> x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":");
                        case 2 -> x.reply(200, "{\"seq\":-7,\"whole\":true,\"hosts\":[]}");
                        case 3 -> x.reply(200, "[]");
                        case 4 -> x.reply(200, "{\"whole\":true,\"hosts\":[]}");
                        default -> x.awaitClose();
                    }
                });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            world.start();
            await("asked again", () -> asked.get() >= 5);
            assertThat(agent.seen.subList(1, 5)).as("anew").containsOnly("GET /api/targets");
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    /** What a silent call missed counts as told 6 s after it fell silent. */
    @Test
    void aCallThatFallsSilentIsFollowedByAnotherWithinTheTimeToBeTold() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    atNanos.add(System.nanoTime());
                    if (atNanos.size() > 1) x.awaitClose();
                    else x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
                });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            world.start();
            await("opened anew", () -> atNanos.size() >= 3);
            assertThat(atNanos.get(2) - atNanos.get(1)).isLessThan(4_500_000_000L);
        }
    }

    /** From a discovery that is slow or crowded, a large list takes longer than a call is waited for. */
    @Test
    void aListThatKeepsComingIsHeard() throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
        try (StandIn agent = new StandIn(x -> {
            if (!x.target.equals("/api/targets")) x.awaitClose();
            x.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            x.writeSlowly(list, 5_000);
        }); GatewayFixture world = new GatewayFixture().withDiscovery(agent)) {
            String unknown = world.config("127.0.0.1:0").replaceFirst("\"known\":\\{.*?\\]\\},", "");
            assertThat(unknown).doesNotContain("known");
            Gateway gateway = new Gateway(NodeConfig.read(unknown, Map.of()), null);
            try {
                gateway.start();
                await("asked for changes", () -> agent.count("GET /api/targets?index=7&") > 0);
                assertThat(agent.count("GET /api/targets")).as("one whole list").isEqualTo(2);
            } finally {
                gateway.stop();
            }
        }
    }

    /** Of that, too, a site's limit on held states says nothing. */
    @Test
    void aListInOneChunkThatComesInPiecesIsHeard() throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
        AtomicInteger asked = new AtomicInteger();
        try (StandIn agent = new StandIn(x -> {
            if (asked.incrementAndGet() > 1) {
                x.awaitClose();
                return;
            }
            x.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            x.writeSlowly(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n0\r\n\r\n", 1_000);
        }); GatewayFixture world = new GatewayFixture().withDiscovery(agent)) {
            world.startWithoutWaiting();
            await("asked again", () -> asked.get() > 1);
            assertThat(agent.seen.get(1)).startsWith("GET /api/targets?index=7&");
        }
    }

    /** Its beginning does not make it less silent. */
    @Test
    void aListThatStopsIsAskedForAgainWithinTheTimeToBeTold() throws Exception {
        List<Long> atNanos = new CopyOnWriteArrayList<>();
        try (StandIn agent = new StandIn(x -> {
            atNanos.add(System.nanoTime());
            if (atNanos.size() == 1) x.reply(200, "{\"seq\":7,\"whole\":true,\"hosts\":[]}");
            else x.write("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":9,");
            if (atNanos.size() > 1) x.awaitClose();
        }); GatewayFixture world = new GatewayFixture().withDiscovery(agent)) {
            world.start();
            await("opened anew", () -> atNanos.size() >= 3);
            assertThat(atNanos.get(2) - atNanos.get(1)).isLessThan(4_500_000_000L);
        }
    }

    /** All nodes restart at once in a release, and each whole list takes an overloaded discovery's time. */
    @Test
    void aNodeGoesOnFromTheListThatItKnows() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            world.start();
            await("asked", () -> world.discovery().seen.size() > 0);
            assertThat(world.discovery().seen.get(0)).startsWith("GET /api/targets?index=3&");
        }
    }

    /** Where lists are pushed, what the agent has counts as told before the first request comes. */
    @Test
    void aNodeIsNotReadyOnAnOldListBeforeItsAgentHasSaidWhatChanged() throws Exception {
        BlockingQueue<StandIn.Exchange> first = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.endsWith("wait=0")) first.add(x);
                    else x.awaitClose();
                });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w1", "decode", writer)
                        .engine("w2", "decode", other).withDiscovery(agent)) {
            world.startWithoutWaiting();
            StandIn.Exchange asked = take(first);
            assertThat(world.gateway.phase()).isEqualTo(Phase.STARTING);
            Socket early = world.connect();
            String ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            early.getOutputStream().write(ready.getBytes(StandardCharsets.UTF_8));
            assertThat(new String(early.getInputStream().readNBytes(12), StandardCharsets.UTF_8)).endsWith("503");
            asked.reply(200, "{\"seq\":9,\"whole\":false,\"hosts\":[{\"host\":\"w1\",\"dial\":\"" + writer.address()
                    + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"terminating\"}]}");
            await("ready", () -> world.gateway.phase() == Phase.READY);
            String closing = ready.replaceFirst("\r\n", "\r\nConnection: close\r\n");
            early.getOutputStream().write(closing.getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readAll(early.getInputStream())).as("who came early stays").contains("HTTP/1.1 200");
            early.close();
            for (int i = 0; i < 10; i++) {
                assertThat(world.exchange(request("a" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(writer.count("POST")).isZero();
        }
    }

    /** Found on the large herd day: a client reached a restarted gateway before its agent's answer did. */
    @Test
    void aRequestThatComesBeforeTheAgentHasAnsweredWaitsForTheList() throws Exception {
        BlockingQueue<StandIn.Exchange> first = GatewayFixture.queue();
        try (StandIn draining = GatewayFixture.reader();
                StandIn started = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.endsWith("wait=0")) first.add(x);
                    else x.awaitClose();
                });
                GatewayFixture world = new GatewayFixture().engine("r1", "prefill", draining).engine("w", "decode", writer)
                        .withDiscovery(agent)) {
            world.startWithoutWaiting();
            StandIn.Exchange asked = take(first);
            try (Socket early = world.connect()) {
                String closing = request("a1", "lookup", "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n");
                early.getOutputStream().write(closing.getBytes(StandardCharsets.UTF_8));
                await("taken", () -> world.gateway.trackedRequests() == 1);
                asked.reply(200, "{\"seq\":9,\"whole\":false,\"hosts\":[" + host("r1", draining, "terminating") + ","
                        + host("r2", started, "in_service") + "]}");
                assertThat(GatewayFixture.readAll(early.getInputStream())).startsWith("HTTP/1.1 200");
            }
            assertThat(draining.count("POST")).isZero();
        }
    }

    private static String host(String name, StandIn at, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + at.address()
                + "\",\"site\":\"caerdydd\",\"class\":\"prefill\",\"block\":1,\"health\":\"" + health + "\"}";
    }

    /** A new agent that has yet to hear the news would list an engine that drains as ready once more. */
    @Test
    void aListOlderThanOursIsNotBelievedAfterAMove() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w1", "decode", writer, "terminating")
                        .engine("w2", "decode", other);
                StandIn agent = new StandIn(x -> x.reply(200, asked.incrementAndGet() > 3
                        ? "{\"seq\":9,\"whole\":false,\"hosts\":[]}"
                        : "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w1\",\"dial\":\"" + writer.address()
                                + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"in_service\"}]}"));
                GatewayFixture moved = new GatewayFixture().withDiscovery(agent)) {
            world.start();
            await("the first list heard", () -> world.discovery().count("GET /api/targets?index=") > 0);
            world.gateway.reload(NodeConfig.read(moved.config("127.0.0.1:0"), Map.of()));
            await("asked again", () -> asked.get() > 4);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(writer.count("POST")).isZero();
        }
    }
}
