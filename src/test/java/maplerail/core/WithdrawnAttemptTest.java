package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

/** Tests that an attempt without a sent byte is withdrawn when it must no longer start. */
class WithdrawnAttemptTest extends ScriptedBroker {
    @Test
    void unsentAttemptsAreWithdrawnOnADrain() {
        submit("a", send(WRITER));
        unsent = true;
        listEngines(State.DRAINING);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE);
        performActions(send(WRITER));
        assertThat(sentAttempts).hasSize(1);
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE, Outcome.NOT_SENT);
    }

    /** Engines drop a repeat for a limited time only: one that waits for a connection must not be sent after it. */
    @Test
    void anAttemptNotSentByItsStartLimitIsWithdrawn() {
        unsent = true;
        submit("a", new Router.Send(1, WRITER, 0, 1_300));
        loop.runUntil(1_299);
        assertThat(sentAttempts.get(0).aborted).isFalse();
        loop.runUntil(1_300);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE);
        unsent = false;
        submit("b", new Router.Send(2, WRITER, 0, 1_500));
        loop.runUntil(1_600);
        assertThat(sentAttempts.get(1).aborted).as("it was sent in time").isFalse();
    }

    /** The module sends a withdrawn request elsewhere at once, while other attempts are still to be withdrawn. */
    @Test
    void allUnsentAttemptsAreWithdrawnThoughOthersAreSentMeanwhile() {
        submit("a", send(WRITER));
        submit("b", new Router.Send(2, WRITER, 0));
        unsent = true;
        onAbort = () -> {
            if (sentAttempts.size() == 2) nextActions.add(send(READER));
        };
        listEngines(State.DRAINING);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(sentAttempts).hasSize(3);
        assertThat(sentAttempts.get(2).aborted).isFalse();
    }
}
