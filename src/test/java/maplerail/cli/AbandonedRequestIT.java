package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a gateway process, with the memory settings of the deploy file, with clients that disconnect during a read. */
class AbandonedRequestIT {
    private static final int CLIENTS = 100;
    private static final String MAX_DEADLINE_S = "3600"; // the longest deadline that a client may state
    private static final int TIMEOUT_S = 40; // for all clients; each takes some ms if there is no fault

    @TempDir
    Path folder;

    /**
     * Guards against running out of memory: releases for an abandoned read are repeated until its deadline, up to an
     * hour.
     */
    @Test
    void clientsThatDisconnectLongBeforeTheirDeadlineLeakNoMemory() throws Exception {
        Semaphore reads = new Semaphore(0);
        try (StandIn reader = new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            reads.release();
            exchange.awaitClose();
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            int abandoned = 0;
            while (abandoned < CLIENTS && System.nanoTime() < endNanos && sendAndDisconnect(port, abandoned, reads))
                abandoned++;
            assertThat(abandoned).as("clients whose read was sent before they disconnected").isEqualTo(CLIENTS);
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
        }
    }

    /** Sends a request and disconnects once its read was sent; returns false if no read was sent. */
    private static boolean sendAndDisconnect(int port, int number, Semaphore reads) throws InterruptedException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            String request = GatewayFixture.request("a" + number, "lookup", MAX_DEADLINE_S);
            client.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return reads.tryAcquire(TIMEOUT_S / 8, TimeUnit.SECONDS);
        } catch (IOException e) {
            return false;
        }
    }
}
