package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.Router.Cancel;
import maplerail.Router.Fail;
import maplerail.Router.Outcome;
import maplerail.Router.Release;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a state that stays at its reader because each release came while the ended write still waited for it at
 * its writer; and against releases that reach what a further attempt needs.
 */
class UnansweredWriteTest extends ScriptedBroker {
    private static final double DEADLINE_MS = 1_000 + 5_000;
    /** The writer drops the write at its deadline if it never sees the close; this process may be late by 150 ms. */
    private static final double DROPPED_MS = DEADLINE_MS + 150;
    private static final double LIMIT_MS = 500;
    private static final double SOCKET_SLACK_MS = 300;

    private RequestHandle client;

    /** How a write ends without proof that its writer has taken the state or declined. */
    enum Ending {
        CANCELLED(test -> test.performActions(new Fail(1), new Cancel(1, 1), new Release(1))), RECLAIMED_AND_CANCELLED(
                test -> test.performActions(new Router.Reclaim(1), new Fail(1), new Cancel(1, 1))), CLIENT_LEFT(
                        test -> test.client.cancel()), RESET(
                                test -> test.endWrite(Outcome.RESET)), ANSWER_OF_ANOTHER_REQUEST(
                                        test -> test.endWrite(Outcome.READ)), TIMED_OUT(
                                                test -> test.loop.runUntil(DEADLINE_MS + 10)), UNREACHABLE_READER(
                                                        test -> test.cancelWhileReaderIsUnreachable());

        private final Consumer<UnansweredWriteTest> action;

        Ending(Consumer<UnansweredWriteTest> action) {
            this.action = action;
        }
    }

    private void startWrite() {
        client = submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 0);
        loop.runUntil(1_100);
    }

    private void endWrite(Outcome outcome) {
        nextActions.add(new Fail(1));
        sentAttempts.get(1).listener.ended(outcome, 0);
        performActions(new Release(1));
    }

    private void cancelWhileReaderIsUnreachable() {
        enginesReachable = false;
        performActions(new Fail(1), new Cancel(1, 1), new Release(1));
        loop.runUntil(1_900);
        enginesReachable = true;
        List<Runnable> lateAnswers = new ArrayList<>(unansweredReleases);
        lateAnswers.forEach(Runnable::run);
    }

    @ParameterizedTest
    @EnumSource
    void releasesAreRepeatedUntilTheWriterHasDroppedTheWrite(Ending ending) {
        startWrite();
        ending.action.accept(this);
        double endedMs = loop.now;
        loop.runUntil(60_000);
        List<Double> laterMs = releaseTimesMs.stream().filter(atMs -> atMs > endedMs).toList();
        assertThat(laterMs).as("after the close has arrived").isNotEmpty();
        assertThat(laterMs.get(0)).isLessThanOrEqualTo(endedMs + 120);
        for (int i = 1; i < laterMs.size(); i++)
            assertThat(laterMs.get(i) - laterMs.get(i - 1)).isLessThanOrEqualTo(LIMIT_MS);
        assertThat(laterMs).as("after the deadline of the write").anyMatch(
                atMs -> atMs >= DROPPED_MS && atMs <= DROPPED_MS + LIMIT_MS + SOCKET_SLACK_MS);
        assertThat(releaseTimesMs).as("not for ever").noneMatch(atMs -> atMs > DROPPED_MS + 1_000);
        assertThat(broker.pendingReleases()).isZero();
        assertThat(broker.retainedRequests()).isZero();
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 250, 1_500})
    void theIntervalOfRepeatsFollowsTheLimitOfTheSettings(double limitMs) {
        start(limitMs);
        startWrite();
        performActions(new Fail(1), new Cancel(1, 1), new Release(1));
        loop.runUntil(60_000);
        for (int i = 1; i < releaseTimesMs.size(); i++) {
            assertThat(releaseTimesMs.get(i) - releaseTimesMs.get(i - 1))
                    .isLessThanOrEqualTo(Math.max(120, limitMs));
        }
        assertThat(releaseTimesMs.get(releaseTimesMs.size() - 1)).isGreaterThanOrEqualTo(DROPPED_MS);
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"ERROR", "FULL", "STATE_GONE", "UNREACHABLE", "NOT_SENT"})
    void oneReleaseIsEnoughAfterAWriteThatIsKnownToBeOver(Outcome outcome) {
        startWrite();
        endWrite(outcome);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(60_000);
        assertThat(releases).containsExactly("1/a");
    }

    @Test
    void nothingIsReleasedForAWriteThatWasServed() {
        startWrite();
        sentAttempts.get(1).listener.event(new byte[1]);
        sentAttempts.get(1).listener.ended(Outcome.SERVED, 0);
        loop.runUntil(60_000);
        assertThat(releases).isEmpty();
    }

    @Test
    void theStateIsKeptForAFurtherWrite() {
        startWrite();
        performActions(new Cancel(1, 1), send(WRITER));
        assertThat(sentAttempts).hasSize(3);
        loop.runUntil(1_450);
        assertThat(releases).as("within the lease").isEmpty();
        sentAttempts.get(2).listener.event(new byte[1]);
        loop.runUntil(5_000);
        assertThat(releases).as("while the stream is under way").isEmpty();
        sentAttempts.get(2).listener.ended(Outcome.SERVED, 0);
        assertThat(releases).as("the first writer may have waited for a state at the reader").isNotEmpty()
                .containsOnly("1/a");
    }

    @Test
    void theStateOfAFurtherReadIsKept() {
        startWrite();
        performActions(new Cancel(1, 1), new Release(1), send(OTHER_READER));
        assertThat(sentAttempts).hasSize(3);
        List<String> beforeRead = List.copyOf(releases);
        assertThat(beforeRead).contains("1/a");
        loop.runUntil(1_400);
        nextActions.add(send(WRITER));
        sentAttempts.get(2).listener.ended(Outcome.READ, 0);
        loop.runUntil(1_800);
        assertThat(releases).as("none during the read and while its state waits to be fetched").isEqualTo(beforeRead);
        sentAttempts.get(3).listener.event(new byte[1]);
        loop.runUntil(5_000);
        assertThat(releases).as("none during the stream").isEqualTo(beforeRead);
    }

    @Test
    void aReleaseIsNotRetriedOnceAFurtherReadIsUnderWay() {
        startWrite();
        performActions(new Cancel(1, 1), new Release(1));
        loop.runUntil(1_300);
        assertThat(releaseTimesMs).as("a repeat while nothing is in flight").contains(1_220.0);
        BooleanSupplier mayRetryRepeat = mayRetryRelease;
        assertThat(mayRetryRepeat.getAsBoolean()).isTrue();
        performActions(send(OTHER_READER));
        assertThat(mayRetryRepeat.getAsBoolean()).isFalse();
    }
}
