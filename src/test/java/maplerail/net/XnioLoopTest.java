package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against a loop that loses track of which input it has read, which would treat every request as an old one. */
class XnioLoopTest {
    private static final double STALL_MS = 200;

    @RegisterExtension
    private final TestLoop testLoop;
    private final XnioLoop loop;
    private final BlockingQueue<String> events = GatewayFixture.queue();

    XnioLoopTest() throws Exception {
        testLoop = new TestLoop();
        loop = testLoop.loop();
    }

    @Test
    void failingTaskDoesNotPreventOthersFromRunning() throws Exception {
        loop.execute(() -> {
            loop.runAfterInput(() -> {
                throw new IllegalStateException("deliberate failure of a test task");
            });
            loop.runAfterInput(() -> events.add("ran"));
        });
        assertThat(GatewayFixture.take(events)).isEqualTo("ran");
        double beforeMs = loop.nowMs();
        GatewayFixture.await("input checks go on", () -> loop.inputArrivedAfterMs() > beforeMs);
    }

    @Test
    void cancelledTaskDoesNotRun() throws Exception {
        loop.execute(() -> {
            loop.runAfterInput(() -> events.add("cancelled")).cancel();
            loop.runAfterInput(() -> events.add("ran"));
        });
        assertThat(GatewayFixture.take(events)).isEqualTo("ran");
    }

    @Test
    void inputReadAfterAStallMayHaveArrivedAtItsStart() throws Exception {
        double startMs = loop.nowMs();
        GatewayFixture.await("input has been checked", () -> loop.inputArrivedAfterMs() > startMs);
        loop.execute(() -> {
            double stalledMs = loop.nowMs();
            while (loop.nowMs() < stalledMs + STALL_MS) Thread.onSpinWait();
            events.add(loop.inputArrivedAfterMs() <= stalledMs ? "unread since" : "known");
            loop.runAfterInput(
                    () -> events.add(loop.connectionsArrivedAfterMs() <= stalledMs ? "unread since" : "known"));
        });
        assertThat(GatewayFixture.take(events)).isEqualTo("unread since");
        assertThat(GatewayFixture.take(events)).as("connections, some of which may not have been accepted yet")
                .isEqualTo("unread since");
        double afterMs = loop.nowMs();
        GatewayFixture.await("the loop has caught up", () -> loop.connectionsArrivedAfterMs() > afterMs);
    }
}
