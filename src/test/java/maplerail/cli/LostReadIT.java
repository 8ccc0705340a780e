package maplerail.cli;

import static maplerail.support.SilentReader.id;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProgram;
import maplerail.support.SilentReader;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a gateway process with a reader whose answer is lost on a connection that goes silent without an error. The
 * reader runs, holds the state and takes calls on other connections; the gateway does not learn that the read has
 * ended. Whether the gateway knows of the state or not, it must be released within the limit from when the reader holds
 * it.
 */
class LostReadIT {
    private static final String LONG_DEADLINE_S = "5.0"; // expires too late to cause the releases under test
    private static final int KEPT_CONNECTIONS = 3;
    private static final int WARM_REQUESTS = 10;
    private static final int TEST_TIMEOUT_S = 20; // only a limit for a test that hangs

    @TempDir
    Path folder;

    private GatewayProgram gateway(GatewayFixture fixture) throws Exception {
        GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"));
        gateway.readyPort();
        return gateway;
    }

    private static GatewayFixture newFixture(StandIn writer, SilentReader... readers) throws Exception {
        GatewayFixture fixture = new GatewayFixture().engine("w", "decode", writer);
        for (int i = 0; i < readers.length; i++) fixture.engine("r" + i, "prefill", readers[i].address(), "in_service");
        return fixture;
    }

    private static CompletableFuture<String> send(GatewayProgram gateway, String id, String kind) {
        return CompletableFuture.supplyAsync(() -> gateway.exchange(GatewayFixture.request(id, kind, LONG_DEADLINE_S)));
    }

    /** The state must be released however many releases arrived before the reader held it. */
    @ParameterizedTest
    @CsvSource({"0, lookup", "300, lookup", "600, lookup", "1100, lookup", "0, repair-order", "300, repair-order",
            "600, repair-order", "1100, repair-order"})
    void aStateWhoseReadIsNeverAnsweredIsLetGoInTime(int readMs, String kind) throws Exception {
        try (SilentReader reader = new SilentReader((r, read) -> r.loseAnswer(read, readMs, ""));
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = newFixture(writer, reader);
                GatewayProgram gateway = gateway(fixture)) {
            send(gateway, "a1", kind);
            reader.times.assertReleasedInTime("a1");
        }
    }

    /** All kept connections to the reader go silent as well: only a new one reaches it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 600})
    void aStateIsLetGoInTimeThoughAllKeptConnectionsToItsReaderAreSilent(int readMs) throws Exception {
        CyclicBarrier allReadsStarted = new CyclicBarrier(KEPT_CONNECTIONS);
        try (SilentReader reader = new SilentReader((r, read) -> {
            if (id(read).equals("a1")) {
                r.silenceConnections();
                r.loseAnswer(read, readMs, "");
            }
            allReadsStarted.await();
            r.answer(read);
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = newFixture(writer, reader);
                GatewayProgram gateway = gateway(fixture)) {
            CompletableFuture<?>[] warm = new CompletableFuture<?>[KEPT_CONNECTIONS];
            for (int i = 0; i < warm.length; i++) warm[i] = send(gateway, "warm" + i, "lookup");
            CompletableFuture.allOf(warm).get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(reader.connections()).isGreaterThanOrEqualTo(KEPT_CONNECTIONS);
            send(gateway, "a1", "repair-order");
            reader.times.assertReleasedInTime("a1");
        }
    }

    /** A writer that fetches the state of a request, after which the reader holds it no longer. */
    private static StandIn fetchingWriter(SilentReader reader) throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("POST")) reader.times.taken(id(exchange));
            exchange.startStream();
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    /** The reader sends part of its answer once it holds the state. */
    private void assertReleasedInTimeAfterPartOfAnswer(String partOfAnswer) throws Exception {
        try (SilentReader reader = new SilentReader((r, read) -> r.loseAnswer(read, 300, partOfAnswer));
                StandIn writer = fetchingWriter(reader);
                GatewayFixture fixture = newFixture(writer, reader);
                GatewayProgram gateway = gateway(fixture)) {
            send(gateway, "a1", "repair-order");
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 202 Acc", "HTTP/1.1 202 Accepted\r\nContent-Le"})
    void aStateIsReleasedInTimeThoughTheHeadOfTheAnswerIsIncomplete(String partOfAnswer) throws Exception {
        assertReleasedInTimeAfterPartOfAnswer(partOfAnswer);
    }

    /** A status without a complete body does not stop the time limit. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n",
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_"})
    void aStateIsReleasedInTimeThoughTheBodyOfTheAnswerIsIncomplete(String partOfAnswer) throws Exception {
        assertReleasedInTimeAfterPartOfAnswer(partOfAnswer);
    }

    /** The close of the read's connection does not reach the reader, which reads on. */
    private void assertReleasedInTimeAfterDisconnect(int readMs) throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        try (SilentReader reader = new SilentReader((r, read) -> {
            reading.countDown();
            disconnected.await();
            r.loseAnswer(read, readMs, "");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = newFixture(writer, reader);
                GatewayProgram gateway = gateway(fixture)) {
            Socket client = new Socket("127.0.0.1", gateway.port());
            client.getOutputStream()
                    .write(GatewayFixture.request("a1", "lookup", LONG_DEADLINE_S).getBytes(StandardCharsets.UTF_8));
            assertThat(reading.await(TEST_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            client.close();
            disconnected.countDown();
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 1100})
    void aStateIsReleasedInTimeThoughTheClientDisconnectedDuringTheRead(int readMs) throws Exception {
        assertReleasedInTimeAfterDisconnect(readMs);
    }

    /** A read that waits in a queue may still start within the deadline that the reader was sent. */
    @ParameterizedTest
    @ValueSource(ints = {2000, 3500})
    void aStateIsReleasedInTimeThoughTheClientDisconnectedLongBeforeTheEndOfTheRead(int readMs) throws Exception {
        assertReleasedInTimeAfterDisconnect(readMs);
    }

    /**
     * The first reader that gets the read loses its answer; the other one answers at once if the gateway retries there.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 1100, 2000})
    void aStateIsReleasedInTimeThoughTheRequestMayBeRetriedAtAnotherReader(int readMs) throws Exception {
        Set<String> lost = ConcurrentHashMap.newKeySet();
        SilentReader.ReadHandler loseOnce = (reader, read) -> {
            if (id(read).equals("a1") && lost.add(id(read))) reader.loseAnswer(read, readMs, "");
            reader.answer(read);
        };
        try (SilentReader one = new SilentReader(loseOnce);
                SilentReader other = new SilentReader(loseOnce);
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = newFixture(writer, one, other);
                GatewayProgram gateway = gateway(fixture)) {
            for (int i = 0; i < WARM_REQUESTS; i++) {
                assertThat(send(gateway, "warm" + i, "lookup").get(TEST_TIMEOUT_S, TimeUnit.SECONDS))
                        .contains("[DONE]");
            }
            send(gateway, "a1", "lookup");
            GatewayFixture.await("lost", () -> one.isAnswerLost("a1") || other.isAnswerLost("a1"));
            (one.isAnswerLost("a1") ? one : other).times.assertReleasedInTime("a1");
        }
    }
}
