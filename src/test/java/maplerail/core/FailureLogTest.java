package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.Test;

/** Operators must find a line for each request whose stream ended too early, with the reason. */
class FailureLogTest {
    private static final int REFUSALS = 200; // in one second, several times the limit on log lines

    private static ActiveRequest request(String id) {
        return new ActiveRequest(1, new ServiceRequest(id, 0, 0, 0, 100, 0, 0, 1_000, 10, 0, false, 10, null), null,
                1_000);
    }

    @Test
    void manyRefusalsDoNotHideABrokenStream() {
        List<String> lines = new ArrayList<>();
        FailureLog log = new FailureLog(new ManualLoop(), lines::add);
        for (int i = 0; i < REFUSALS; i++) log.requestFailed(request("refused" + i), "refused (OVERLOAD)");
        assertThat(lines).hasSizeLessThan(REFUSALS);
        log.streamBroken(request("cut"), "broken (RESET)");
        assertThat(lines).last().asString().contains("request cut kind 0 broken (RESET)");
    }

    @Test
    void aStreamAbandonedBeforeItsAnswerWasSentIsLogged() {
        BrokerFixture fixture = new BrokerFixture();
        fixture.submit("a1", new Router.Send(1, BrokerFixture.WRITER, BrokerFixture.DEADLINE_MS));
        fixture.lastListener().event("data: 1\n\n".getBytes());
        fixture.lastListener().ended(Outcome.SERVED, 0);
        assertThat(fixture.finalAnswers).containsExactly("end");
        fixture.handle.cancel();
        assertThat(fixture.logLines)
                .anyMatch(line -> line.startsWith("request a1 kind 0 abandoned by its client before its whole answer"));
    }

    @Test
    void aRequestRejectedByAnEngineIsLogged() {
        BrokerFixture fixture = new BrokerFixture();
        fixture.submit("a1", new Router.Send(1, BrokerFixture.READER, BrokerFixture.DEADLINE_MS));
        fixture.lastListener().rejected();
        assertThat(fixture.finalAnswers).containsExactly("fail");
        assertThat(fixture.logLines)
                .anyMatch(line -> line.startsWith("request a1 kind 0 rejected by an engine as invalid"));
    }
}
