package maplerail.cli;

import static maplerail.support.SilentReader.id;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.HeldTimes;
import maplerail.support.SilentReader;
import maplerail.support.StandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against states that stay at their readers because the release overtakes the close of a write that waits at a
 * full writer. A release frees nothing while the write waits.
 */
class WaitingWriteIT {
    /** How long the close of a connection takes to reach the writer. */
    private static final int CLOSE_DELAY_MS = 20;
    private static final int CLIENT_LEAVES_AFTER_MS = 300;

    /** How the writer learns that the write has ended. */
    enum Close {
        SEEN, NEVER_SEEN
    }

    /** What ends the write at the gateway. */
    enum Ending {
        DEADLINE, CLIENT_LEAVES, DEADLINE_WHILE_DRAINING
    }

    @TempDir
    Path folder;

    private final CountDownLatch waiting = new CountDownLatch(1);

    /** A writer with no room: a write waits until its close is seen or, if it never is, until its deadline. */
    private StandIn fullWriter(HeldTimes times, Close close) throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                times.released(id(exchange));
                exchange.reply(204, "");
                return;
            }
            times.attemptInFlight(id(exchange));
            waiting.countDown();
            if (close == Close.SEEN) {
                exchange.awaitClose();
                TimeUnit.MILLISECONDS.sleep(CLOSE_DELAY_MS);
            } else {
                double deadlineMs = 1_000 * Double.parseDouble(exchange.headers.get("req-deadline"));
                TimeUnit.MILLISECONDS.sleep(Math.round(deadlineMs));
            }
            times.declined(id(exchange));
        });
    }

    @ParameterizedTest
    @CsvSource({"DEADLINE, SEEN, lookup, 1.0", "DEADLINE, SEEN, repair-order, 1.0",
            "DEADLINE, SEEN, repair-order, 0.4", "DEADLINE, NEVER_SEEN, repair-order, 1.0",
            "CLIENT_LEAVES, SEEN, lookup, 3.0", "CLIENT_LEAVES, SEEN, repair-order, 3.0",
            "CLIENT_LEAVES, NEVER_SEEN, repair-order, 3.0", "DEADLINE_WHILE_DRAINING, SEEN, repair-order, 1.0",
            "DEADLINE_WHILE_DRAINING, SEEN, lookup, 1.0"})
    void aStateIsReleasedInTimeThoughItsWriteWaitsAtAFullWriter(Ending ending, Close close, String kind,
            String deadlineS) throws Exception {
        try (SilentReader reader = new SilentReader(SilentReader::answer);
                StandIn writer = fullWriter(reader.times, close);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader.address(), "in_service")
                        .engine("w", "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            String request = GatewayFixture.request("a1", kind, deadlineS);
            if (ending == Ending.CLIENT_LEAVES) sendAndLeave(gateway.port(), request);
            else CompletableFuture.runAsync(() -> gateway.exchange(request));
            waiting.await();
            if (ending == Ending.DEADLINE_WHILE_DRAINING) gateway.signal("TERM");
            reader.times.assertReleasedInTime("a1");
        }
    }

    private void sendAndLeave(int port, String request) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            waiting.await();
            GatewayFixture.pause(CLIENT_LEAVES_AFTER_MS);
        }
    }
}
