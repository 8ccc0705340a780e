package maplerail.cli;

import static maplerail.support.SilentReader.id;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import maplerail.support.GatewayProgram;
import maplerail.support.HeldTimes;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a gateway process that can no longer reach a reader once that has answered a read. Releases do not arrive at
 * that reader; at any other engine they release what it holds.
 */
class ReleaseOutOfReachIT {
    private static final String DEADLINE_S = "1.5";

    @TempDir
    Path folder;

    private final HeldTimes times = new HeldTimes();

    /** A reader that answers reads, but gets no release on any connection. */
    private StandIn unreachableReader() throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.awaitClose();
                return;
            }
            times.attemptInFlight(id(exchange));
            times.held(id(exchange));
            exchange.reply(202, "{\"cached_tokens\":0}");
        });
    }

    private void release(StandIn.Exchange exchange) throws Exception {
        times.released(id(exchange));
        exchange.reply(204, "");
    }

    /** A writer that keeps each write in its queue until the gateway gives up on it. */
    private StandIn queueingWriter() throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                release(exchange);
                return;
            }
            times.attemptInFlight(id(exchange));
            exchange.awaitClose();
            times.declined(id(exchange));
        });
    }

    /**
     * Guards against a state that is kept after its request is over, because the release is sent only to its holder.
     */
    @ParameterizedTest
    @ValueSource(strings = {"lookup", "repair-order"})
    void aStateIsLetGoInTimeThoughItsReaderIsOutOfReachOnceItsRequestIsOver(String kind) throws Exception {
        try (StandIn reader = unreachableReader();
                StandIn writer = queueingWriter();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            CompletableFuture.runAsync(() -> gateway.exchange(GatewayFixture.request("a1", kind, DEADLINE_S)));
            times.assertReleasedInTime("a1");
        }
    }
}
