package maplerail.core;

import static maplerail.core.BrokerFixture.DEADLINE_MS;
import static maplerail.core.BrokerFixture.READER;
import static maplerail.core.BrokerFixture.WRITER;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.ProtocolRules.Reason;
import org.junit.jupiter.api.Test;

/** Tests the last checks: a module orders what the rules forbid, or a client disconnects right before a send. */
class RuleChecksTest {
    private static final double FAR_FUTURE_MS = 1e9;

    private final BrokerFixture fixture = new BrokerFixture();

    private static Router.Send send(long engine) {
        return new Router.Send(1, engine, FAR_FUTURE_MS);
    }

    private long count(Enum<?> constant) {
        return fixture.broker.counters().get(constant);
    }

    @Test
    void aWriteThatMayHaveRunIsNotRepeated() {
        fixture.submit("a1", send(WRITER));
        fixture.nextActions.add(send(WRITER));
        fixture.listeners.get(0).ended(Outcome.RESET, 0);
        assertThat(fixture.listeners).hasSize(1);
        assertThat(count(Reason.MAY_HAVE_RUN)).isEqualTo(1);
        assertThat(count(Breach.SEND_WITHHELD)).isEqualTo(1);
        assertThat(fixture.logLines)
                .anyMatch(line -> line.startsWith("rule broken: SEND_WITHHELD request a1 MAY_HAVE_RUN"));
    }

    /** Such an answer belongs to another request and proves nothing about this one. */
    @Test
    void aReaderOutcomeFromAWriterIsNoProofThatItNeverRan() {
        fixture.submit("a1", send(WRITER));
        fixture.nextActions.add(send(WRITER));
        fixture.listeners.get(0).ended(Outcome.READ, 0);
        assertThat(fixture.listeners).hasSize(1);
        assertThat(count(Outcome.ERROR)).isEqualTo(1);
    }

    @Test
    void aStreamFromAReaderIsDiscarded() {
        fixture.submit("a1", send(READER));
        fixture.listeners.get(0).event("data: of another request\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(fixture.eventCount).isZero();
        assertThat(count(Outcome.RESET)).isEqualTo(1);
    }

    @Test
    void aSecondAttemptIsNotMadeWhileOneIsInFlight() {
        fixture.submit("a1", send(WRITER), send(WRITER));
        assertThat(fixture.listeners).hasSize(1);
        assertThat(count(Reason.ATTEMPT_OUT)).isEqualTo(1);
    }

    @Test
    void aRefusedRequestThatMayHaveRunIsAnsweredAsFailed() {
        fixture.submit("a1", send(WRITER));
        fixture.nextActions.add(new Router.Refuse(1, 100));
        fixture.listeners.get(0).ended(Outcome.ERROR, 0);
        assertThat(fixture.finalAnswers).containsExactly("fail");
        assertThat(count(Breach.REFUSAL_WITHHELD)).isEqualTo(1);
    }

    /** The client's close may still be unread in the loop turn in which the connection is established. */
    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotStartForADisconnectedClient() {
        fixture.unsent = true;
        fixture.submit("a1", send(WRITER));
        fixture.callerDisconnected = true;
        assertThat(fixture.startChecks.get(0).getAsBoolean()).isFalse();
        assertThat(fixture.aborted).isTrue();
        assertThat(fixture.broker.unansweredRequests()).isZero();
    }

    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotStartAfterTheDeadline() {
        fixture.unsent = true;
        fixture.submit("a1", send(WRITER));
        assertThat(fixture.startChecks.get(0).getAsBoolean()).isTrue();
        fixture.loop.now += DEADLINE_MS;
        assertThat(fixture.startChecks.get(0).getAsBoolean()).isFalse();
        assertThat(fixture.aborted).isTrue();
    }

    /** The timer that withdraws the attempt may be late if the loop is behind. */
    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotStartAfterItsRepeatWindow() {
        fixture.unsent = true;
        double windowEndMs = fixture.loop.now + 100;
        fixture.submit("a1", new Router.Send(1, WRITER, FAR_FUTURE_MS, windowEndMs));
        fixture.loop.now = windowEndMs;
        assertThat(fixture.startChecks.get(0).getAsBoolean()).isFalse();
        assertThat(count(Reason.REPEAT_WINDOW_OVER)).isEqualTo(1);
        assertThat(fixture.aborted).isTrue();
    }
}
