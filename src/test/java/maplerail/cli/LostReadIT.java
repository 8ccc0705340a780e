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
 * A real gateway process beside a reader whose answer is lost on a connection that falls silent with no error. The reader
 * runs, holds the state and hears what comes on other connections; the gateway is never told that the read has ended.
 * Known to the gateway or not, the state must be let go within the limit from when the reader holds it.
 */
class LostReadIT {
    private static final String LONG_S = "5.0"; // its end lets go of nothing that is looked at here
    private static final int KEPT_CONNECTIONS = 3;
    private static final int WARM_REQUESTS = 10;
    private static final int TEST_S = 20; // only ends a test that would never end

    @TempDir
    Path folder;

    private GatewayProgram gateway(GatewayFixture world) throws Exception {
        GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"));
        gateway.readyPort();
        return gateway;
    }

    private static GatewayFixture world(StandIn writer, SilentReader... readers) throws Exception {
        GatewayFixture world = new GatewayFixture().engine("w", "decode", writer);
        for (int i = 0; i < readers.length; i++) world.engine("r" + i, "prefill", readers[i].address(), "in_service");
        return world;
    }

    private static CompletableFuture<String> ask(GatewayProgram gateway, String id, String kind) {
        return CompletableFuture.supplyAsync(() -> gateway.exchange(GatewayFixture.request(id, kind, LONG_S)));
    }

    /** However many releases came before the state was there. */
    @ParameterizedTest
    @CsvSource({"0, lookup", "300, lookup", "600, lookup", "1100, lookup", "0, repair-order", "300, repair-order",
            "600, repair-order", "1100, repair-order"})
    void aStateWhoseReadIsNeverAnsweredIsLetGoInTime(int readMs, String kind) throws Exception {
        try (SilentReader reader = new SilentReader((r, read) -> r.loseAnswer(read, readMs, ""));
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = world(writer, reader);
                GatewayProgram gateway = gateway(world)) {
            ask(gateway, "a1", kind);
            reader.times.assertReleasedInTime("a1");
        }
    }

    /** The kept connections to its reader fall silent with it: only a new one gets through. */
    @ParameterizedTest
    @ValueSource(ints = {0, 600})
    void aStateIsLetGoInTimeThoughAllKeptConnectionsToItsReaderAreSilent(int readMs) throws Exception {
        CyclicBarrier together = new CyclicBarrier(KEPT_CONNECTIONS);
        try (SilentReader reader = new SilentReader((r, read) -> {
            if (id(read).equals("a1")) {
                r.silenceConnections();
                r.loseAnswer(read, readMs, "");
            }
            together.await();
            r.answer(read);
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = world(writer, reader);
                GatewayProgram gateway = gateway(world)) {
            CompletableFuture<?>[] warm = new CompletableFuture<?>[KEPT_CONNECTIONS];
            for (int i = 0; i < warm.length; i++) warm[i] = ask(gateway, "warm" + i, "lookup");
            CompletableFuture.allOf(warm).get(TEST_S, TimeUnit.SECONDS);
            assertThat(reader.connections()).isGreaterThanOrEqualTo(KEPT_CONNECTIONS);
            ask(gateway, "a1", "repair-order");
            reader.times.assertReleasedInTime("a1");
        }
    }

    /** A writer that fetches the state of a request, upon which its reader holds nothing more. */
    private static StandIn fetchingWriter(SilentReader reader) throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("POST")) reader.times.taken(id(exchange));
            exchange.startStream();
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    /** Answers a read in part, after its state is there. */
    private void assertLetGoInTimeAfter(String heard) throws Exception {
        try (SilentReader reader = new SilentReader((r, read) -> r.loseAnswer(read, 300, heard));
                StandIn writer = fetchingWriter(reader);
                GatewayFixture world = world(writer, reader);
                GatewayProgram gateway = gateway(world)) {
            ask(gateway, "a1", "repair-order");
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 202 Acc", "HTTP/1.1 202 Accepted\r\nContent-Le"})
    void aStateIsLetGoInTimeThoughTheHeadOfItsReadsAnswerCameInPart(String heard) throws Exception {
        assertLetGoInTimeAfter(heard);
    }

    /** The status is there, and does not stop the clock. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n",
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_"})
    void aStateIsLetGoInTimeThoughTheBodyOfItsReadsAnswerIsMissing(String heard) throws Exception {
        assertLetGoInTimeAfter(heard);
    }

    /** The close of its read does not reach the reader, which reads on. */
    private void assertLetGoInTimeAfterALeave(int readMs) throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        try (SilentReader reader = new SilentReader((r, read) -> {
            reading.countDown();
            left.await();
            r.loseAnswer(read, readMs, "");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = world(writer, reader);
                GatewayProgram gateway = gateway(world)) {
            Socket client = new Socket("127.0.0.1", gateway.port());
            client.getOutputStream().write(GatewayFixture.request("a1", "lookup", LONG_S).getBytes(StandardCharsets.UTF_8));
            assertThat(reading.await(TEST_S, TimeUnit.SECONDS)).isTrue();
            client.close();
            left.countDown();
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 1100})
    void aStateIsLetGoInTimeThoughItsClientLeftDuringTheRead(int readMs) throws Exception {
        assertLetGoInTimeAfterALeave(readMs);
    }

    /** Within the time that its reader was told a read that waits in a queue may still begin. */
    @ParameterizedTest
    @ValueSource(ints = {2000, 3500})
    void aStateIsLetGoInTimeThoughItsClientLeftLongBeforeTheEndOfTheRead(int readMs) throws Exception {
        assertLetGoInTimeAfterALeave(readMs);
    }

    /** Whichever reader gets it first loses it; the other answers at once if the gateway goes on there. */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 1100, 2000})
    void aStateIsLetGoInTimeThoughItsRequestMayGoOnAtAnotherReader(int readMs) throws Exception {
        Set<String> lost = ConcurrentHashMap.newKeySet();
        SilentReader.ReadHandler loseOnce = (reader, read) -> {
            if (id(read).equals("a1") && lost.add(id(read))) reader.loseAnswer(read, readMs, "");
            reader.answer(read);
        };
        try (SilentReader one = new SilentReader(loseOnce);
                SilentReader other = new SilentReader(loseOnce);
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = world(writer, one, other);
                GatewayProgram gateway = gateway(world)) {
            for (int i = 0; i < WARM_REQUESTS; i++) {
                assertThat(ask(gateway, "warm" + i, "lookup").get(TEST_S, TimeUnit.SECONDS)).contains("[DONE]");
            }
            ask(gateway, "a1", "lookup");
            GatewayFixture.await("lost", () -> one.isAnswerLost("a1") || other.isAnswerLost("a1"));
            (one.isAnswerLost("a1") ? one : other).times.assertReleasedInTime("a1");
        }
    }
}
