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
 * Runs a gateway process with a writer that declines a write in an answer that never ends. The write is over when that
 * answer starts: the time within which the reader's state must be released starts then.
 */
class DeclinedWriteIT {
    private static final String LONG_DEADLINE_S = "5.0"; // expires too late to cause the releases under test
    private static final int PIECE_INTERVAL_MS = 100;

    @TempDir
    Path folder;

    private final CountDownLatch testEnded = new CountDownLatch(1);

    @AfterEach
    void endAnswers() {
        testEnded.countDown();
    }

    /**
     * A writer that starts its answer to each write with one text, then sends another one (or nothing) again and again.
     */
    private StandIn writer(SilentReader reader, String firstText, String piece) throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            reader.times.attemptInFlight(id(exchange));
            reader.times.declined(id(exchange));
            exchange.write(firstText);
            while (!testEnded.await(PIECE_INTERVAL_MS, TimeUnit.MILLISECONDS)) exchange.write(piece);
        });
    }

    private void assertReleasedInTime(String firstText, String piece, String kind) throws Exception {
        try (SilentReader reader = new SilentReader(SilentReader::answer);
                StandIn writer = writer(reader, firstText.replace("|", "\r\n"), piece);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader.address(), "in_service")
                        .engine("w", "decode",
                                writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            CompletableFuture.runAsync(() -> gateway.exchange(GatewayFixture.request("a1", kind, LONG_DEADLINE_S)));
            reader.times.assertReleasedInTime("a1");
        }
    }

    @ParameterizedTest
    @CsvSource({"HTTP/1.1 4, repair-order", "HTTP/1.1 410 Gone|Srv-Decl, repair-order",
            "HTTP/1.1 410 Gone|Srv-Decl, lookup",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|, lookup"})
    void aStateIsReleasedInTimeThoughTheHeadOfTheDeclineStalls(String firstText, String kind) throws Exception {
        assertReleasedInTime(firstText, "", kind);
    }

    /** Further bytes of the answer do not extend the time. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 410 Gone|Srv-Declined: 1|X: , repair-order", "HTTP/1.1 503 Unavailable|X: , repair-order",
            "HTTP/1.1 503 Unavailable|X: , lookup"})
    void aStateIsReleasedInTimeThoughTheHeadOfTheDeclineNeverEnds(String firstText, String kind) throws Exception {
        assertReleasedInTime(firstText, "x", kind);
    }

    /** The head is complete and announces a body that never arrives. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 410 Gone|Srv-Declined: 1|Content-Length: 9||, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|Content-Length: 9||, repair-order",
            "HTTP/1.1 503 Unavailable|Srv-Declined: 1|Content-Length: 9||, lookup"})
    void aStateIsReleasedInTimeThoughTheBodyOfTheDeclineIsMissing(String firstText, String kind) throws Exception {
        assertReleasedInTime(firstText, "", kind);
    }
}
