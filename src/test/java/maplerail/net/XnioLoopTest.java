package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against a loop that no longer knows what it has read, which would take every request for an old one. */
class XnioLoopTest {
    private static final double STOOD_STILL_MS = 200;

    @RegisterExtension
    private final LoopOnWorker own;
    private final XnioLoop loop;
    private final BlockingQueue<String> heard = GatewayFixture.queue();

    XnioLoopTest() throws Exception {
        own = new LoopOnWorker();
        loop = own.loop();
    }

    @Test
    void aTaskThatFailsKeepsNoOtherFromRunning() throws Exception {
        loop.execute(() -> {
            loop.runAfterInput(() -> {
                throw new IllegalStateException("a task of a test that fails on purpose");
            });
            loop.runAfterInput(() -> heard.add("ran"));
        });
        assertThat(GatewayFixture.take(heard)).isEqualTo("ran");
        double beforeMs = loop.nowMs();
        GatewayFixture.await("it still looks", () -> loop.inputArrivedAfterMs() > beforeMs);
    }

    @Test
    void aTaskThatWasCalledOffDoesNotRun() throws Exception {
        loop.execute(() -> {
            loop.runAfterInput(() -> heard.add("called off")).cancel();
            loop.runAfterInput(() -> heard.add("ran"));
        });
        assertThat(GatewayFixture.take(heard)).isEqualTo("ran");
    }

    @Test
    void whatIsReadAfterAStandstillMayHaveComeAtItsStart() throws Exception {
        double startMs = loop.nowMs();
        GatewayFixture.await("it looks", () -> loop.inputArrivedAfterMs() > startMs);
        loop.execute(() -> {
            double stoppedMs = loop.nowMs();
            while (loop.nowMs() < stoppedMs + STOOD_STILL_MS) Thread.onSpinWait();
            heard.add(loop.inputArrivedAfterMs() <= stoppedMs ? "unread since" : "known");
            loop.runAfterInput(
                    () -> heard.add(loop.connectionsArrivedAfterMs() <= stoppedMs ? "unread since" : "known"));
        });
        assertThat(GatewayFixture.take(heard)).isEqualTo("unread since");
        assertThat(GatewayFixture.take(heard)).as("of connections, of which some may still wait").isEqualTo("unread since");
        double afterMs = loop.nowMs();
        GatewayFixture.await("it has caught up", () -> loop.connectionsArrivedAfterMs() > afterMs);
    }
}
