package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the repeated releases of states that an aborted read may leave at its reader. */
class AbortedReadTest extends ScriptedBroker {
    /** Guards against a state that stays held because its read ended just as it was aborted, or later. */
    @Test
    void releasesAreRepeatedAfterAnAbortedRead() {
        submit("a", send(READER));
        performActions(new Cancel(1, 0));
        assertThat(outcomes()).containsExactly(Outcome.CANCELLED);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(1_399);
        assertThat(releases).as("the engine may see the release before the close").containsExactly("1/a", "1/a");
        loop.runUntil(60_000);
        double engineDeadlineMs = 1_000 + 5_000;
        double latestReadEndMs = engineDeadlineMs + 1_600;
        assertThat(releaseTimesMs).as("a read in the queue may start until the deadline given to its reader")
                .hasSizeBetween(7, 25).allMatch(atMs -> atMs <= latestReadEndMs + 500)
                .anyMatch(atMs -> atMs > latestReadEndMs);
        assertThat(releases).containsOnly("1/a");
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 250, 500, 1_500})
    void aReadThatEndsLongAfterItsAbortIsReleasedWithinThePinLimit(double pinLimitMs) {
        start(pinLimitMs);
        submit("a", send(READER));
        performActions(new Cancel(1, 0));
        loop.runUntil(60_000);
        for (int i = 1; i < releaseTimesMs.size(); i++) {
            assertThat(releaseTimesMs.get(i) - releaseTimesMs.get(i - 1))
                    .isLessThanOrEqualTo(Math.max(120, pinLimitMs));
        }
        assertThat(releaseTimesMs.get(releaseTimesMs.size() - 1)).isGreaterThan(2_000 - pinLimitMs);
    }

    /** The first reader continues an aborted read; the request continues elsewhere and ends before that read does. */
    @Test
    void releasesAreRepeatedThoughTheRequestContinuedElsewhere() {
        submit("a", send(READER));
        nextActions.add(send(OTHER_READER));
        performActions(new Cancel(1, 0));
        loop.runUntil(1_600);
        performActions(new Router.Fail(1), new Cancel(1, 1));
        releases.clear();
        loop.runUntil(60_000);
        assertThat(releases.stream().filter("1/a"::equals).count()).as("600 ms after the abort")
                .isGreaterThanOrEqualTo(2);
    }

    /** The first token frees the held states, but the first reader may finish its aborted read after that. */
    @Test
    void anAbortedReadIsReleasedAfterItsRequestWasServed() {
        submit("a", send(READER));
        nextActions.add(send(OTHER_READER));
        performActions(new Cancel(1, 0));
        nextActions.add(send(WRITER));
        sentAttempts.get(1).listener.ended(Outcome.READ, 0);
        sentAttempts.get(2).listener.event(new byte[1]);
        loop.runUntil(1_200);
        assertThat(releases).isEmpty();
        sentAttempts.get(2).listener.ended(Outcome.SERVED, 0);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(2_600);
        assertThat(releases).hasSizeGreaterThan(3).containsOnly("1/a");
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void nothingIsReleasedWhileTheReaderIsInUseAgain() {
        submit("a", send(READER));
        performActions(new Cancel(1, 0), send(READER));
        assertThat(sentAttempts).hasSize(2);
        assertThat(releases).as("before the second read").containsExactly("1/a");
        loop.runUntil(1_400);
        assertThat(releases).as("none during the second read").containsExactly("1/a");
    }

    /** A client that left may send its request again: releases of the first run would make the new read useless. */
    @Test
    void releasesOfAnEarlierRunDoNotReachTheStatesOfALaterOne() {
        submit("a", send(READER)).cancel();
        submit("a", new Router.Send(2, READER, 0));
        assertThat(sentAttempts).hasSize(2);
        int sent = releases.size();
        loop.runUntil(3_000);
        assertThat(releases).as("while the later run reads").hasSize(sent);
        nextActions.add(new Router.Fail(2));
        sentAttempts.get(1).listener.ended(Outcome.ERROR, 0);
        loop.runUntil(60_000);
        double latestReadEndMs = 1_000 + 5_000 + 1_600;
        assertThat(releaseTimesMs).as("what the earlier run may have left").anyMatch(atMs -> atMs > latestReadEndMs);
        assertThat(broker.pendingReleases()).isZero();
    }
}
