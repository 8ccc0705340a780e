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
 * A real gateway process that is cut off from a reader once that has answered a read. Releases do not arrive there; at
 * any other engine they let go of what that reader holds.
 */
class ReleaseOutOfReachIT {
    private static final String DEADLINE_S = "1.5";

    @TempDir
    Path folder;

    private final HeldTimes times = new HeldTimes();

    /** Answers reads; releases to it are lost, on any connection. */
    private StandIn readerOutOfReach() throws Exception {
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

    /** Has each write wait in its queue until the gateway gives it up. */
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

    /** Guards against a state that stays when its request is over, as only its holder is told to let go of it. */
    @ParameterizedTest
    @ValueSource(strings = {"lookup", "repair-order"})
    void aStateIsLetGoInTimeThoughItsReaderIsOutOfReachOnceItsRequestIsOver(String kind) throws Exception {
        try (StandIn reader = readerOutOfReach();
                StandIn writer = queueingWriter();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            gateway.readyPort();
            CompletableFuture.runAsync(() -> gateway.exchange(GatewayFixture.request("a1", kind, DEADLINE_S)));
            times.assertReleasedInTime("a1");
        }
    }
}
