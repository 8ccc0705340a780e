package maplerail.core;

import static maplerail.core.BrokerRig.DEADLINE_MS;
import static maplerail.core.BrokerRig.READER;
import static maplerail.core.BrokerRig.WRITER;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.ProtocolRules.Reason;
import org.junit.jupiter.api.Test;

/** What the core does where a module orders something that the rules forbid, or a client leaves in the last moment. */
class RuleChecksTest {
    private static final double LONG_MS = 1e9;

    private final BrokerRig rig = new BrokerRig();

    private static Router.Send send(long engine) {
        return new Router.Send(1, engine, LONG_MS);
    }

    private long counted(Enum<?> what) {
        return rig.broker.counters().get(what);
    }

    @Test
    void aSecondRunOfWhatMayHaveRunIsNotMade() {
        rig.take("a1", send(WRITER));
        rig.next.add(send(WRITER));
        rig.sent.get(0).ended(Outcome.RESET, 0);
        assertThat(rig.sent).hasSize(1);
        assertThat(counted(Reason.MAY_HAVE_RUN)).isEqualTo(1);
        assertThat(counted(Breach.SEND_WITHHELD)).isEqualTo(1);
        assertThat(rig.log).anyMatch(line -> line.startsWith("rule broken: SEND_WITHHELD request a1 MAY_HAVE_RUN"));
    }

    /** Such an answer is some other request's; it proves nothing of this one. */
    @Test
    void aWritersAnswerThatOnlyReadersGiveIsNoProofThatItNeverRan() {
        rig.take("a1", send(WRITER));
        rig.next.add(send(WRITER));
        rig.sent.get(0).ended(Outcome.READ, 0);
        assertThat(rig.sent).hasSize(1);
        assertThat(counted(Outcome.ERROR)).isEqualTo(1);
    }

    @Test
    void aStreamFromAReaderIsNobodys() {
        rig.take("a1", send(READER));
        rig.sent.get(0).event("data: of another request\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(rig.events).isZero();
        assertThat(counted(Outcome.RESET)).isEqualTo(1);
    }

    @Test
    void aSecondAttemptIsNotMadeWhileOneIsOut() {
        rig.take("a1", send(WRITER), send(WRITER));
        assertThat(rig.sent).hasSize(1);
        assertThat(counted(Reason.ATTEMPT_OUT)).isEqualTo(1);
    }

    @Test
    void whatMayHaveRunIsAnsweredAsFailedThoughTheModuleRefusesIt() {
        rig.take("a1", send(WRITER));
        rig.next.add(new Router.Refuse(1, 100));
        rig.sent.get(0).ended(Outcome.ERROR, 0);
        assertThat(rig.answers).containsExactly("fail");
        assertThat(counted(Breach.REFUSAL_WITHHELD)).isEqualTo(1);
    }

    /** Its close may wait unread in the same turn in which the connection comes up. */
    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotBeginForAClientThatLeftMeanwhile() {
        rig.unsent = true;
        rig.take("a1", send(WRITER));
        rig.callerLeft = true;
        assertThat(rig.permits.get(0).getAsBoolean()).isFalse();
        assertThat(rig.aborted).isTrue();
        assertThat(rig.broker.unansweredRequests()).isZero();
    }

    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotBeginAfterTheDeadline() {
        rig.unsent = true;
        rig.take("a1", send(WRITER));
        assertThat(rig.permits.get(0).getAsBoolean()).isTrue();
        rig.loop.now += DEADLINE_MS;
        assertThat(rig.permits.get(0).getAsBoolean()).isFalse();
        assertThat(rig.aborted).isTrue();
    }

    /** The timer that withdraws it may be late, as the loop is behind. */
    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotBeginAfterItsWindow() {
        rig.unsent = true;
        double windowEndMs = rig.loop.now + 100;
        rig.take("a1", new Router.Send(1, WRITER, LONG_MS, windowEndMs));
        rig.loop.now = windowEndMs;
        assertThat(rig.permits.get(0).getAsBoolean()).isFalse();
        assertThat(counted(Reason.REPEAT_WINDOW_OVER)).isEqualTo(1);
        assertThat(rig.aborted).isTrue();
    }
}
