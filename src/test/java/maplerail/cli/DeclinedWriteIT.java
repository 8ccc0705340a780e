package maplerail.cli;

import static maplerail.support.SilentReader.id;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProgram;
import maplerail.support.SilentReader;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A real gateway process beside a writer that turns a request away, and whose answer to that begins and never ends. The
 * write is over when the writer begins to say so: from then on the time runs in which its reader's state must be let go.
 */
class DeclinedWriteIT {
    private static final String LONG_S = "5.0"; // its end lets go of nothing that is looked at here
    private static final int PIECE_EVERY_MS = 100;

    @TempDir
    Path folder;

    private final CountDownLatch over = new CountDownLatch(1);

    @AfterEach
    void endAnswers() {
        over.countDown();
    }

    /** A writer that begins to decline each write, and goes on with more of the same answer, or with nothing. */
    private StandIn writer(SilentReader reader, String begin, String more) throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            reader.times.attemptInFlight(id(exchange));
            reader.times.declined(id(exchange));
            exchange.write(begin);
            while (!over.await(PIECE_EVERY_MS, TimeUnit.MILLISECONDS)) exchange.write(more);
        });
    }

    private void assertLetGoInTime(String begin, String more, String kind) throws Exception {
        try (SilentReader reader = new SilentReader(SilentReader::answer);
                StandIn writer = writer(reader, begin.replace("|", "\r\n"), more);
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader.address(), "in_service").engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            gateway.readyPort();
            CompletableFuture.runAsync(() -> gateway.exchange(GatewayFixture.request("a1", kind, LONG_S)));
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @CsvSource({"HTTP/1.1 4, repair-order", "HTTP/1.1 410 Gone|Srv-Decl, repair-order",
            "HTTP/1.1 410 Gone|Srv-Decl, lookup",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|, lookup"})
    void aStateIsLetGoInTimeThoughTheHeadOfItsWritersDeclineNeverEnds(String begin, String kind) throws Exception {
        assertLetGoInTime(begin, "", kind);
    }

    /** Bytes that go on coming do not stop the clock. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 410 Gone|Srv-Declined: 1|X: , repair-order", "HTTP/1.1 503 Unavailable|X: , repair-order",
            "HTTP/1.1 503 Unavailable|X: , lookup"})
    void aStateIsLetGoInTimeThoughTheHeadOfItsWritersDeclineGoesOn(String begin, String kind) throws Exception {
        assertLetGoInTime(begin, "x", kind);
    }

    /** The head is whole and tells of a body that never comes. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 410 Gone|Srv-Declined: 1|Content-Length: 9||, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|Content-Length: 9||, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|Content-Length: 9||, lookup"})
    void aStateIsLetGoInTimeThoughTheBodyOfItsWritersDeclineIsMissing(String begin, String kind) throws Exception {
        assertLetGoInTime(begin, "", kind);
    }
}
