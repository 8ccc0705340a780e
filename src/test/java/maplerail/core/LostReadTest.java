package maplerail.core;

import static maplerail.core.BrokerFixture.DEADLINE_MS;
import static maplerail.core.BrokerFixture.PIN_LIMIT_MS;
import static maplerail.core.BrokerFixture.READER;
import static maplerail.core.BrokerFixture.WRITER;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests when a state is released that an aborted or answered read may leave at its reader. Nothing is released while a
 * read is in flight: a release frees everything that is held for the request, and makes that read useless.
 */
class LostReadTest {
    private static final double FAR_FUTURE_MS = 1e9;
    private static final double STEP_MS = 10; // between two tested start times of a held state
    private static final double ABORT_DELAY_MS = 100; // from the send to the abort
    private static final double RELEASES_ANSWERED_MS = 2; // two in a row precede a further read
    private static final double RELEASE_SLACK_MS = 300; // added to the limit by the protocol rules for sockets

    private final BrokerFixture fixture = new BrokerFixture();

    @BeforeEach
    void readersAnswerReleases() {
        fixture.answersReleases = true;
    }

    private EngineTransport.AnswerListener startRead() {
        fixture.submit("a1", new Router.Send(1, READER, FAR_FUTURE_MS));
        return fixture.lastListener();
    }

    /** Asserts that a state that is first held between these times is released within the limit. */
    private void assertReleasedWithin(double limitMs, double fromMs, double untilMs) {
        for (double timeMs = fromMs; timeMs <= untilMs; timeMs += STEP_MS) {
            double heldFromMs = timeMs;
            assertThat(fixture.releaseTimesMs)
                    .as("releases for a state held from %s ms after the send", timeMs - fromMs)
                    .anyMatch(at -> at >= heldFromMs && at <= heldFromMs + limitMs);
        }
    }

    /** No reader has the read, so a release would be a useless call. */
    @Test
    void anUnsentReadNeedsNoRelease() {
        fixture.unsent = true;
        double orderedMs = fixture.loop.now;
        startRead();
        fixture.loop.runUntil(orderedMs + 3 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isEmpty();
    }

    /** However many releases were sent before the answer, a state that a write needs is kept for its lease. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.5, 0.9, 1, 1.3, 2.6})
    void anAnsweredReadStopsItsReleasesAndStartsItsLease(double readLeaseTerms) {
        EngineTransport.AnswerListener read = startRead();
        fixture.loop.runUntil(fixture.loop.now + readLeaseTerms * PIN_LIMIT_MS);
        fixture.nextActions.add(new Router.Send(1, WRITER, FAR_FUTURE_MS));
        read.ended(Outcome.READ, 0);
        fixture.releaseTimesMs.clear();
        double answeredMs = fixture.loop.now;
        fixture.loop.runUntil(answeredMs + 2 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).containsExactly(answeredMs + PIN_LIMIT_MS);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.9, 1, 2.6})
    void aStateIsNotReleasedOnceItsWriteIsBeingAnswered(double readLeaseTerms) {
        EngineTransport.AnswerListener read = startRead();
        fixture.loop.runUntil(fixture.loop.now + readLeaseTerms * PIN_LIMIT_MS);
        fixture.nextActions.add(new Router.Send(1, WRITER, FAR_FUTURE_MS));
        read.ended(Outcome.READ, 0);
        fixture.responseStarted = true;
        fixture.releaseTimesMs.clear();
        fixture.loop.runUntil(fixture.loop.now + 3 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isEmpty();
    }

    /** How a read ends without an answer. */
    private enum AbortCause {
        CANCELLED, RESET, CLIENT_LEFT
    }

    /** Ends the first read, upon which the module orders these actions in the same step. */
    private void abort(AbortCause cause, EngineTransport.AnswerListener read, Router.Action... nextActions) {
        if (cause == AbortCause.CANCELLED) fixture.nextActions.add(new Router.Cancel(1, 0));
        fixture.nextActions.addAll(List.of(nextActions));
        switch (cause) {
            case CANCELLED -> fixture.performActions();
            case RESET -> read.ended(Outcome.RESET, 0);
            default -> fixture.handle.cancel();
        }
    }

    /**
     * An engine need not stop an aborted read, and does not learn of the abort if its connection has fallen silent. It
     * refuses a request whose deadline has passed; until then, a read in its queue may start.
     */
    @ParameterizedTest
    @EnumSource
    void releasesFollowAnAbortedReadUntilTheDeadlineGivenToItsReader(AbortCause cause) {
        double sentMs = fixture.loop.now;
        EngineTransport.AnswerListener read = startRead();
        fixture.loop.runUntil(sentMs + ABORT_DELAY_MS);
        abort(cause, read);
        fixture.loop.runUntil(sentMs + 2 * DEADLINE_MS);
        assertReleasedWithin(PIN_LIMIT_MS + RELEASE_SLACK_MS, sentMs + ABORT_DELAY_MS, sentMs + DEADLINE_MS);
    }

    /** The second read at a reader holds back releases for the first. Once answered, its own state must be kept. */
    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "RESET"})
    void theStateOfASecondReadAtTheSameReaderIsKeptForItsWrite(AbortCause cause) {
        double sentMs = fixture.loop.now;
        EngineTransport.AnswerListener read = startRead();
        fixture.loop.runUntil(sentMs + ABORT_DELAY_MS);
        abort(cause, read, new Router.Send(1, READER, FAR_FUTURE_MS));
        fixture.loop.runUntil(fixture.loop.now + RELEASES_ANSWERED_MS);
        assertThat(fixture.listeners).hasSize(2);
        fixture.loop.runUntil(sentMs + 2 * ABORT_DELAY_MS);
        fixture.nextActions.add(new Router.Send(1, WRITER, FAR_FUTURE_MS));
        fixture.lastListener().ended(Outcome.READ, 0);
        fixture.releaseTimesMs.clear();
        double answeredMs = fixture.loop.now;
        fixture.loop.runUntil(answeredMs + PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).containsExactly(answeredMs + PIN_LIMIT_MS);
    }
}
