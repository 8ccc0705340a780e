package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import maplerail.Router.Release;
import org.junit.jupiter.api.Test;

/** What is called off, and what is left open while the reader of its state is out of reach. */
class CalledOffAttemptTest extends ScriptedBroker {
    @Test
    void aCallerThatLeavesEndsTheAttemptsAndWhatIsHeldIsLetGo() {
        RequestHandle handle = take("a", send(READER));
        next.add(send(WRITER));
        out.get(0).answer.ended(Outcome.READ, 0);
        next.add(new Release(1));
        handle.cancel();
        assertThat(out.get(1).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.CANCELLED);
        assertThat(released).contains("1/a");
        assertThat(releasedForMs).as("its engine may be out of reach for longer than the limit").isGreaterThan(1_000);
        out.get(1).answer.event(new byte[1]);
        out.get(1).answer.ended(Outcome.SERVED, 0);
        assertThat(caller).isEmpty();
        assertThat(broker.retainedRequests()).isZero();
    }

    /** A busy loop may have read an engine's answer, or a timer may be due, before the caller's leaving is read. */
    @Test
    void nothingMoreIsSentForACallerWhoseLeavingHasNotBeenHeardYet() {
        take("a", send(READER));
        callerLeft = true;
        next.add(send(WRITER));
        out.get(0).answer.ended(Outcome.READ, 0);
        assertThat(out).hasSize(1);
        assertThat(told).anyMatch(e -> e instanceof Router.Abandoned);
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.NOT_SENT);
        assertThat(released).containsExactly("1/a");
        assertThat(caller).isEmpty();
        assertThat(broker.retainedRequests()).isZero();
    }

    /** With the attempt ended nobody could let go of the state in time: to its reader it is being taken until then. */
    @Test
    void anAttemptIsLeftOpenWhileTheReaderOfItsStateIsOutOfReach() {
        take("a", send(READER));
        next.add(send(WRITER));
        out.get(0).answer.ended(Outcome.READ, 0);
        inReach = false;
        act(new Router.Fail(1), new Cancel(1, 1), new Release(1));
        assertThat(caller).as("the client hears at once").containsExactly("fail ENGINE");
        loop.until(8_900);
        assertThat(out.get(1).aborted).isFalse();
        inReach = true;
        next.add(new Release(1));
        unheard.get(0).run();
        assertThat(out.get(1).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.CANCELLED);
        assertThat(released).as("asked, and let go once nothing is out").startsWith("1/a", "1/a");
        assertThat(broker.retainedRequests()).isZero();
    }

    /** A writer could not reach the first reader, the prompt is read at another, and then the request ends. */
    @Test
    void aReadIsLeftOpenWhileTheReaderOfAnEarlierStateIsOutOfReach() {
        take("a", send(READER));
        next.add(send(WRITER));
        out.get(0).answer.ended(Outcome.READ, 0);
        next.add(send(OTHER_READER));
        out.get(1).answer.ended(Outcome.STATE_GONE, 0);
        inReach = false;
        act(new Router.Fail(1), new Cancel(1, 2), new Release(1));
        assertThat(caller).as("the client hears at once").containsExactly("fail ENGINE");
        assertThat(out.get(2).aborted).isFalse();
        inReach = true;
        next.add(new Release(1));
        unheard.get(0).run();
        assertThat(out.get(2).aborted).isTrue();
        assertThat(released).contains("1/a", "3/a");
        loop.until(60_000);
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void anAttemptIsNotLeftOpenForGood() {
        take("a", send(READER));
        next.add(send(WRITER));
        out.get(0).answer.ended(Outcome.READ, 0);
        inReach = false;
        act(new Router.Fail(1), new Cancel(1, 1));
        loop.until(9_100);
        assertThat(out.get(1).aborted).isTrue();
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void aStreamThatIsTheCallersIsNotCalledOffAndASecondOneIs() {
        take("a", send(WRITER), send(WRITER));
        out.get(1).answer.event(new byte[1]);
        act(new Cancel(1, 1));
        assertThat(out.get(1).aborted).isFalse();
        out.get(0).answer.event(new byte[1]);
        assertThat(out.get(0).aborted).isTrue();
        out.get(1).answer.ended(Outcome.SERVED, 0);
        assertThat(caller).containsExactly("event", "end");
    }
}
