package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

/** An attempt of which nothing has gone out is withdrawn when it must not begin any more. */
class WithdrawnAttemptTest extends ScriptedBroker {
    @Test
    void whatHasNotGoneOutObeysADrain() {
        take("a", send(WRITER));
        unsent = true;
        list(State.DRAINING);
        assertThat(out.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE);
        act(send(WRITER));
        assertThat(out).hasSize(1);
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE, Outcome.NOT_SENT);
    }

    /** A repeat is dropped by engines for a limited time only: one that waits for a connection must not go after it. */
    @Test
    void anAttemptThatHasNotGoneOutByItsTimeIsWithdrawn() {
        unsent = true;
        take("a", new Router.Send(1, WRITER, 0, 1_300));
        loop.until(1_299);
        assertThat(out.get(0).aborted).isFalse();
        loop.until(1_300);
        assertThat(out.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.UNREACHABLE);
        unsent = false;
        take("b", new Router.Send(2, WRITER, 0, 1_500));
        loop.until(1_600);
        assertThat(out.get(1).aborted).as("it has gone out in time").isFalse();
    }

    /** The module sends what was withdrawn elsewhere at once, while others wait to be withdrawn. */
    @Test
    void allThatHasNotGoneOutObeysADrainThoughOthersAreSentMeanwhile() {
        take("a", send(WRITER));
        take("b", new Router.Send(2, WRITER, 0));
        unsent = true;
        whenAborted = () -> {
            if (out.size() == 2) next.add(send(READER));
        };
        list(State.DRAINING);
        assertThat(out.get(0).aborted).isTrue();
        assertThat(out.get(1).aborted).isTrue();
        assertThat(out).hasSize(3);
        assertThat(out.get(2).aborted).isFalse();
    }
}
