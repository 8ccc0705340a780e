package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.Test;

/** Whoever looks into a bad day has to find a line of each request whose stream ended too early, and why. */
class FailureLogTest {
    private static final int CROWD = 200; // in one second, several times what is told of it

    private static ActiveRequest request(String id) {
        return new ActiveRequest(1, new ServiceRequest(id, 0, 0, 0, 100, 0, 0, 1_000, 10, 0, false, 10, null), null,
                1_000);
    }

    @Test
    void aCrowdOfRefusalsHidesNoBrokenStream() {
        List<String> lines = new ArrayList<>();
        FailureLog log = new FailureLog(new ManualLoop(), lines::add);
        for (int i = 0; i < CROWD; i++) log.requestFailed(request("refused" + i), "refused (OVERLOAD)");
        assertThat(lines).hasSizeLessThan(CROWD);
        log.streamBroken(request("cut"), "broken (RESET)");
        assertThat(lines).last().asString().contains("request cut kind 0 broken (RESET)");
    }

    @Test
    void aStreamWhoseClientLeavesBeforeItsEndHasGoneOutIsTold() {
        BrokerRig rig = new BrokerRig();
        rig.take("a1", new Router.Send(1, BrokerRig.WRITER, BrokerRig.DEADLINE_MS));
        rig.lastSent().event("data: 1\n\n".getBytes());
        rig.lastSent().ended(Outcome.SERVED, 0);
        assertThat(rig.answers).containsExactly("end");
        rig.handle.cancel();
        assertThat(rig.log)
                .anyMatch(line -> line.startsWith("request a1 kind 0 abandoned by its client before its whole answer"));
    }

    @Test
    void aRequestThatAnEngineCannotUseIsTold() {
        BrokerRig rig = new BrokerRig();
        rig.take("a1", new Router.Send(1, BrokerRig.READER, BrokerRig.DEADLINE_MS));
        rig.lastSent().rejected();
        assertThat(rig.answers).containsExactly("fail");
        assertThat(rig.log).anyMatch(line -> line.startsWith("request a1 kind 0 rejected by an engine as invalid"));
    }
}
