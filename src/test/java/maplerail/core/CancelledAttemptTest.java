package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import maplerail.Router.Release;
import org.junit.jupiter.api.Test;

/** Tests which attempts are cancelled, and which stay open while the reader of their state is unreachable. */
class CancelledAttemptTest extends ScriptedBroker {
    @Test
    void aDisconnectCancelsTheAttemptsAndReleasesHeldStates() {
        RequestHandle handle = submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        nextActions.add(new Release(1));
        handle.cancel();
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.CANCELLED);
        assertThat(releases).contains("1/a");
        assertThat(releaseRetryMs).as("its engine may be unreachable for longer than the limit").isGreaterThan(1_000);
        sentAttempts.get(1).listener.event(new byte[1]);
        sentAttempts.get(1).listener.ended(Outcome.SERVED, 0);
        assertThat(callerEvents).isEmpty();
        assertThat(broker.retainedRequests()).isZero();
    }

    /** A busy loop may read an engine's answer or run a timer before it reads the caller's disconnect. */
    @Test
    void nothingIsSentForACallerWhoseDisconnectIsStillUnread() {
        submit("a", send(READER));
        callerDisconnected = true;
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        assertThat(sentAttempts).hasSize(1);
        assertThat(deliveredEvents).anyMatch(e -> e instanceof Router.Abandoned);
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.NOT_SENT);
        assertThat(releases).containsExactly("1/a");
        assertThat(callerEvents).isEmpty();
        assertThat(broker.retainedRequests()).isZero();
    }

    /** If the attempt ended, the state could not be released in time; to its reader, it is in use until then. */
    @Test
    void aWriteStaysOpenWhileTheReaderOfItsStateIsUnreachable() {
        submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        enginesReachable = false;
        performActions(new Router.Fail(1), new Cancel(1, 1), new Release(1));
        assertThat(callerEvents).as("the client is answered at once").containsExactly("fail ENGINE");
        loop.runUntil(8_900);
        assertThat(sentAttempts.get(1).aborted).isFalse();
        enginesReachable = true;
        nextActions.add(new Release(1));
        unansweredReleases.get(0).run();
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.READ, Outcome.CANCELLED);
        assertThat(releases.stream().filter("1/a"::equals).count())
                .as("released at the reader once while in flight, and again afterwards").isGreaterThanOrEqualTo(2);
        assertThat(broker.retainedRequests()).isZero();
    }

    /** A writer could not reach the first reader, the prompt is being read at another, and then the request ends. */
    @Test
    void aReadStaysOpenWhileTheReaderOfAnEarlierStateIsUnreachable() {
        submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        nextActions.add(send(OTHER_READER));
        sentAttempts.get(1).listener.ended(Outcome.STATE_GONE, 0);
        enginesReachable = false;
        performActions(new Router.Fail(1), new Cancel(1, 2), new Release(1));
        assertThat(callerEvents).as("the client is answered at once").containsExactly("fail ENGINE");
        assertThat(sentAttempts.get(2).aborted).isFalse();
        enginesReachable = true;
        nextActions.add(new Release(1));
        unansweredReleases.get(0).run();
        assertThat(sentAttempts.get(2).aborted).isTrue();
        assertThat(releases).contains("1/a", "3/a");
        loop.runUntil(60_000);
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void aLingeringAttemptIsEventuallyAborted() {
        submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        enginesReachable = false;
        performActions(new Router.Fail(1), new Cancel(1, 1));
        loop.runUntil(9_100);
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void theWinningStreamIsNotCancelledButASecondOneIs() {
        submit("a", send(WRITER), send(WRITER));
        sentAttempts.get(1).listener.event(new byte[1]);
        performActions(new Cancel(1, 1));
        assertThat(sentAttempts.get(1).aborted).isFalse();
        sentAttempts.get(0).listener.event(new byte[1]);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        sentAttempts.get(1).listener.ended(Outcome.SERVED, 0);
        assertThat(callerEvents).containsExactly("event", "end");
    }
}
