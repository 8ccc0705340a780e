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

/** A real gateway process, with the memory that the deploy file gives it, beside clients that ask and leave again. */
class LeftLongIT {
    private static final int CLIENTS = 100;
    private static final String LONGEST_S = "3600"; // that a client may say it waits
    private static final int MOST_S = 40; // for all of them; sound ones take some ms each

    @TempDir
    Path folder;

    /** What their reads may leave is let go for as long as these were told to wait: that may be long. */
    @Test
    void clientsThatWouldWaitForLongAndLeaveCostTheGatewayNothingThatLasts() throws Exception {
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
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_S);
            int left = 0;
            while (left < CLIENTS && System.nanoTime() < endNanos && leave(port, left, reads)) left++;
            assertThat(left).as("clients whose read went out before they left").isEqualTo(CLIENTS);
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
        }
    }

    /** Asks, and leaves once the read is out; false if it did not go out. */
    private static boolean leave(int port, int number, Semaphore reads) throws InterruptedException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            String request = GatewayFixture.request("a" + number, "lookup", LONGEST_S);
            client.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return reads.tryAcquire(MOST_S / 8, TimeUnit.SECONDS);
        } catch (IOException e) {
            return false;
        }
    }
}
