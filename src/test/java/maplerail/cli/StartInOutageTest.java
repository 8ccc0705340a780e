package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.config.NodeConfig;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.GatewayFixture;
import maplerail.support.StandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a gateway that starts while discovery is down and routes by the list of an earlier run: engines that
 * drain by now would get work. The known list has a reader in service that drains in the list of the agent.
 */
class StartInOutageTest {
    private static final int OUTAGE_MS = 2_500;
    private static final int SLOW_ANSWER_MS = 2_500;
    private static final double READY_LIMIT_MS = 10_000;
    private static final double DEADLINE_MS = 5_000;
    private static final String DEADLINE_S = "5.0";

    /** What the agent does with a call during the outage. */
    enum Outage {
        /** It answers the call when discovery is back. */
        HOLDS_CALLS,
        /** It never answers the call, but later ones. */
        LOSES_CALLS, BREAKS_CONNECTIONS, ANSWERS_503, ANSWERS_NO_LIST
    }

    private final CountDownLatch back = new CountDownLatch(1);
    private final CountDownLatch testEnded = new CountDownLatch(1);
    private StandIn staying;
    private StandIn draining;
    private StandIn writer;
    private double startedMs;

    @BeforeEach
    void startEngines() throws Exception {
        staying = GatewayFixture.reader();
        draining = GatewayFixture.reader();
        writer = GatewayFixture.writer();
    }

    @AfterEach
    void closeEngines() throws Exception {
        testEnded.countDown();
        back.countDown();
        staying.close();
        draining.close();
        writer.close();
    }

    private StandIn agent(Outage outage) throws Exception {
        return new StandIn(exchange -> {
            if (back.getCount() > 0 && !answersLater(outage, exchange)) return;
            answer(exchange);
        });
    }

    /** Returns whether the call is still to be answered with the list. */
    private boolean answersLater(Outage outage, StandIn.Exchange exchange) throws Exception {
        switch (outage) {
            case HOLDS_CALLS -> back.await();
            case LOSES_CALLS -> testEnded.await();
            case BREAKS_CONNECTIONS -> exchange.reset();
            case ANSWERS_503 -> exchange.reply(503, "");
            case ANSWERS_NO_LIST -> exchange.reply(200, "[]");
            default -> throw new IllegalArgumentException(outage.name());
        }
        return outage == Outage.HOLDS_CALLS;
    }

    /** Answers with what has changed since the known list, or with the whole list; a watch for later changes waits. */
    private void answer(StandIn.Exchange exchange) throws Exception {
        if (exchange.target.contains("index=9")) exchange.awaitClose();
        else if (exchange.target.contains("index=")) reply(exchange, false, drainingReader());
        else reply(exchange, true, wholeList());
    }

    private static void reply(StandIn.Exchange exchange, boolean whole, String hosts) throws Exception {
        exchange.reply(200, "{\"seq\":9,\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}");
    }

    private String drainingReader() {
        return host("r1", "prefill", draining, "terminating");
    }

    private String wholeList() {
        return drainingReader() + "," + host("r2", "prefill", staying, "in_service") + ","
                + host("w", "decode", writer, "in_service");
    }

    private GatewayFixture start(StandIn agent, String discoveryMode) throws Exception {
        GatewayFixture fixture = new GatewayFixture().engine("r1", "prefill", draining)
                .engine("r2", "prefill", staying).engine("w", "decode", writer).withDiscovery(agent);
        String config = fixture.config("127.0.0.1:0").replace("\"discovery\":\"push\"",
                "\"discovery\":\"" + discoveryMode + "\"");
        startedMs = nowMs();
        fixture.gateway = new Gateway(NodeConfig.read(config, Map.of()), null);
        fixture.gateway.start();
        return fixture;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static void pauseUntil(double atMs) throws InterruptedException {
        GatewayFixture.pause(Math.max(0, atMs - nowMs()));
    }

    private static String exchange(GatewayFixture fixture, String id) {
        try {
            return fixture.exchange(request(id, "lookup", DEADLINE_S));
        } catch (java.io.IOException e) {
            return "<" + e + ">";
        }
    }

    private void assertNothingWasSent() {
        assertThat(staying.count("POST") + draining.count("POST") + writer.count("POST")).isZero();
    }

    private void assertServedWithoutTheDrainingReader(GatewayFixture fixture) {
        for (int i = 0; i < 10; i++) assertThat(exchange(fixture, "b" + i)).startsWith("HTTP/1.1 200");
        assertThat(draining.count("POST")).isZero();
    }

    @ParameterizedTest
    @EnumSource
    void nothingIsSentBeforeTheAgentHasAnswered(Outage outage) throws Exception {
        try (StandIn agent = agent(outage); GatewayFixture fixture = start(agent, "push")) {
            double sentMs = nowMs();
            assertThat(exchange(fixture, "a1")).as("refused, as nothing has run").startsWith("HTTP/1.1 503")
                    .contains("Retry-After");
            assertThat(nowMs() - sentMs).as("in time").isLessThan(DEADLINE_MS);
            pauseUntil(startedMs + OUTAGE_MS);
            assertThat(fixture.gateway.phase()).isEqualTo(Phase.STARTING);
            assertNothingWasSent();
            back.countDown();
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            assertThat(nowMs() - startedMs).isLessThan(READY_LIMIT_MS);
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    /** Each call is answered, though later than another one is made. */
    @Test
    void aSlowAgentIsWaitedFor() throws Exception {
        StandIn.Handler slow = exchange -> {
            TimeUnit.MILLISECONDS.sleep(SLOW_ANSWER_MS);
            answer(exchange);
        };
        try (StandIn agent = new StandIn(slow); GatewayFixture fixture = start(agent, "push")) {
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            assertThat(nowMs() - startedMs).isBetween((double) SLOW_ANSWER_MS, (double) 2 * SLOW_ANSWER_MS);
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    @Test
    void aRequestThatComesShortlyBeforeTheListIsServed() throws Exception {
        try (StandIn agent = agent(Outage.HOLDS_CALLS); GatewayFixture fixture = start(agent, "push")) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> exchange(fixture, "a1"));
            await("accepted", () -> fixture.gateway.retainedRequests() == 1);
            back.countDown();
            assertThat(answer.get((long) DEADLINE_MS, TimeUnit.MILLISECONDS)).startsWith("HTTP/1.1 200");
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    /** The readiness limit holds for a longer outage, too; requests then wait for the list. */
    @Test
    void aGatewayIsReadyInTimeButSendsNothingInALongOutage() throws Exception {
        try (StandIn agent = agent(Outage.LOSES_CALLS); GatewayFixture fixture = start(agent, "push")) {
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            assertThat(nowMs() - startedMs).isLessThan(READY_LIMIT_MS);
            double sentMs = nowMs();
            assertThat(exchange(fixture, "a1")).startsWith("HTTP/1.1 503").contains("Retry-After");
            assertThat(nowMs() - sentMs).as("in time").isLessThan(DEADLINE_MS);
            assertNothingWasSent();
            back.countDown();
            await("called again", () -> exchange(fixture, "c" + nowMs()).startsWith("HTTP/1.1 200"));
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    /** Where lists are asked for, a change counts as told seconds later: the known list may be used meanwhile. */
    @Test
    void aGatewayThatAsksForListsServesByItsKnownListAtOnce() throws Exception {
        try (StandIn agent = agent(Outage.LOSES_CALLS); GatewayFixture fixture = start(agent, "ask")) {
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            assertThat(exchange(fixture, "a1")).startsWith("HTTP/1.1 200");
            assertThat(nowMs() - startedMs).isLessThan(DEADLINE_MS);
        }
    }

    /** A list that was confirmed stays in use when discovery goes down. */
    @Test
    void aGatewayThatIsServingGoesOnInAnOutage() throws Exception {
        back.countDown();
        StandIn.Handler silentBehindFirstList = exchange -> {
            if (exchange.target.contains("index=9")) testEnded.await();
            else answer(exchange);
        };
        try (StandIn agent = new StandIn(silentBehindFirstList); GatewayFixture fixture = start(agent, "push")) {
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            pauseUntil(nowMs() + OUTAGE_MS);
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    @Test
    void aGatewayThatWaitsForItsListAnswersItsRequestsAndEndsWhenItIsTold() throws Exception {
        try (StandIn agent = agent(Outage.HOLDS_CALLS); GatewayFixture fixture = start(agent, "push")) {
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> exchange(fixture, "a1"));
            await("accepted", () -> fixture.gateway.retainedRequests() == 1);
            double toldMs = nowMs();
            fixture.gateway.drain();
            await("ended", () -> fixture.gateway.phase() == Phase.STOPPED);
            assertThat(nowMs() - toldMs).isLessThan(DEADLINE_MS);
            assertThat(answer.get(1, TimeUnit.SECONDS)).startsWith("HTTP/1.1 503");
            assertNothingWasSent();
        }
    }

    /** A new configuration may name another agent meanwhile; its answer confirms the list as well. */
    @Test
    void theListOfANewAgentIsAwaitedInPlaceOfASilentOne() throws Exception {
        try (StandIn silent = agent(Outage.LOSES_CALLS);
                StandIn agent = new StandIn(this::answer);
                GatewayFixture next = new GatewayFixture().withDiscovery(agent);
                GatewayFixture fixture = start(silent, "push")) {
            await("called", () -> silent.count("GET") > 0);
            fixture.gateway.reload(NodeConfig.read(next.config("127.0.0.1:0"), Map.of()));
            await("ready", () -> fixture.gateway.phase() == Phase.READY);
            assertServedWithoutTheDrainingReader(fixture);
        }
    }

    private static String host(String name, String kind, StandIn at, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + at.address() + "\",\"site\":\"caerdydd\",\"class\":\"" + kind
                + "\",\"block\":1,\"health\":\"" + health + "\"}";
    }
}
