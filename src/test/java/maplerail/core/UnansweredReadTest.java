package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;

/** Tests what precedes and limits the read that follows a read without an answer, which may have left a state. */
class UnansweredReadTest extends ScriptedBroker {
    private static final double PIN_LIMIT_MS = 500;
    private static final double RELEASE_SLACK_MS = 300;

    /** Cancels the first read; the module orders another as soon as it learns of the end. */
    private void cancelFirstRead() {
        submit("a", send(READER));
        performActions(new Cancel(1, 0));
    }

    private void answerRelease(String release) {
        unansweredReleases.get(releases.lastIndexOf(release)).run();
    }

    @Test
    void theModuleLearnsOfTheEndOnceTheReleaseIsAnswered() {
        enginesReachable = false;
        cancelFirstRead();
        assertThat(releases).containsExactly("1/a");
        assertThat(outcomes()).isEmpty();
        answerRelease("1/a");
        assertThat(outcomes()).containsExactly(Outcome.CANCELLED);
    }

    @Test
    void theModuleLearnsOfTheEndSoonThoughNoReleaseIsAnswered() {
        enginesReachable = false;
        cancelFirstRead();
        loop.runUntil(loop.now + 100);
        assertThat(outcomes()).containsExactly(Outcome.CANCELLED);
    }

    @Test
    void theNextReadIsNotSentBeforeItsReaderHasAnsweredARelease() {
        cancelFirstRead();
        enginesReachable = false;
        releases.clear();
        performActions(send(OTHER_READER));
        assertThat(releases).containsExactly("3/a");
        assertThat(sentAttempts).hasSize(1);
        answerRelease("3/a");
        assertThat(sentAttempts).hasSize(2);
    }

    /** The first reader may be stopped in the middle of its read and finish it at any time. */
    @Test
    void theNextReadIsCalledOffInTimeWhileTheFirstReaderAnswersNoRelease() {
        enginesReachable = false;
        cancelFirstRead();
        loop.runUntil(loop.now + 100);
        performActions(send(OTHER_READER));
        answerRelease("3/a");
        assertThat(sentAttempts).hasSize(2);
        double sentMs = loop.now;
        loop.runUntil(sentMs + PIN_LIMIT_MS - 1);
        assertThat(sentAttempts.get(1).aborted).isFalse();
        loop.runUntil(sentMs + PIN_LIMIT_MS + RELEASE_SLACK_MS);
        assertThat(sentAttempts.get(1).aborted).isTrue();
    }

    @Test
    void theNextReadIsNotCalledOffOnceTheFirstReaderHasAnsweredARelease() {
        cancelFirstRead();
        performActions(send(OTHER_READER));
        loop.runUntil(loop.now + 3 * PIN_LIMIT_MS);
        assertThat(sentAttempts).hasSize(2);
        assertThat(sentAttempts.get(1).aborted).isFalse();
    }
}
