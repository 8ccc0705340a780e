package maplerail.core;

import static maplerail.core.BrokerRig.DEADLINE_MS;
import static maplerail.core.BrokerRig.PIN_LIMIT_MS;
import static maplerail.core.BrokerRig.READER;
import static maplerail.core.BrokerRig.WRITER;
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
 * What a read that was cut off, or whose answer has come, may leave at its reader, and when that is let go. While a read
 * is waited for nothing is released: a release lets go of all that is held for the request, and ends that read's use.
 */
class LostReadTest {
    private static final double LONG_MS = 1e9;
    private static final double STEP_MS = 10; // between two times at which a reader may begin to hold
    private static final double CUT_MS = 100; // after the send
    private static final double SLACK_MS = 300; // that the rules on sockets add to the limit

    private final BrokerRig rig = new BrokerRig();

    @BeforeEach
    void readersAnswerReleases() {
        rig.answersReleases = true;
    }

    private EngineTransport.AnswerListener readOut() {
        rig.take("a1", new Router.Send(1, READER, LONG_MS));
        return rig.lastSent();
    }

    /** A state that begins at any time between these two is let go within so long. */
    private void assertFollowedByAReleaseWithin(double limitMs, double fromMs, double untilMs) {
        for (double t = fromMs; t <= untilMs; t += STEP_MS) {
            double heldFromMs = t;
            assertThat(rig.releasedAtMs).as("releases for a state held from %s ms after the send", t - fromMs)
                    .anyMatch(at -> at >= heldFromMs && at <= heldFromMs + limitMs);
        }
    }

    /** No reader has it, so that a release would be a call for nothing. */
    @Test
    void aReadThatHasNotLeftNeedsNoRelease() {
        rig.unsent = true;
        double orderedMs = rig.loop.now;
        readOut();
        rig.loop.until(orderedMs + 3 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isEmpty();
    }

    /** However many releases went out before the answer: what a write waits for stays for its lease. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.5, 0.9, 1, 1.3, 2.6})
    void theAnswerOfAReadEndsItsReleasesAndBeginsItsLease(double readTerms) {
        EngineTransport.AnswerListener read = readOut();
        rig.loop.until(rig.loop.now + readTerms * PIN_LIMIT_MS);
        rig.next.add(new Router.Send(1, WRITER, LONG_MS));
        read.ended(Outcome.READ, 0);
        rig.releasedAtMs.clear();
        double answeredMs = rig.loop.now;
        rig.loop.until(answeredMs + 2 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).containsExactly(answeredMs + PIN_LIMIT_MS);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.9, 1, 2.6})
    void nothingIsReleasedThatAWriteWaitsForWhoseAnswerHasBegun(double readTerms) {
        EngineTransport.AnswerListener read = readOut();
        rig.loop.until(rig.loop.now + readTerms * PIN_LIMIT_MS);
        rig.next.add(new Router.Send(1, WRITER, LONG_MS));
        read.ended(Outcome.READ, 0);
        rig.answerBegun = true;
        rig.releasedAtMs.clear();
        rig.loop.until(rig.loop.now + 3 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isEmpty();
    }

    /** How a read ends unanswered. */
    private enum Cut {
        CANCELLED, RESET, CLIENT_LEFT
    }

    /** Ends the first read, upon which the module orders this in the same breath. */
    private void cut(Cut how, EngineTransport.AnswerListener read, Router.Action... then) {
        if (how == Cut.CANCELLED) rig.next.add(new Router.Cancel(1, 0));
        rig.next.addAll(List.of(then));
        switch (how) {
            case CANCELLED -> rig.order();
            case RESET -> read.ended(Outcome.RESET, 0);
            default -> rig.handle.cancel();
        }
    }

    /**
     * Whether an engine stops is up to the engine, and one whose connection has fallen silent hears nothing of the end. It
     * turns a request away whose time is over, as it was told: until then a read that waited in its queue may begin.
     */
    @ParameterizedTest
    @EnumSource
    void aReadThatWasCutOffIsFollowedByReleasesForTheTimeThatItsReaderWasTold(Cut how) {
        double sentMs = rig.loop.now;
        EngineTransport.AnswerListener read = readOut();
        rig.loop.until(sentMs + CUT_MS);
        cut(how, read);
        rig.loop.until(sentMs + 2 * DEADLINE_MS);
        assertFollowedByAReleaseWithin(PIN_LIMIT_MS + SLACK_MS, sentMs + CUT_MS, sentMs + DEADLINE_MS);
    }

    /** The second read at a reader covers the first only until its answer: then its state is waited for. */
    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "RESET"})
    void aStateOfASecondReadAtTheSameReaderStaysForItsWrite(Cut how) {
        double sentMs = rig.loop.now;
        EngineTransport.AnswerListener read = readOut();
        rig.loop.until(sentMs + CUT_MS);
        cut(how, read, new Router.Send(1, READER, LONG_MS));
        assertThat(rig.sent).hasSize(2);
        rig.loop.until(sentMs + 2 * CUT_MS);
        rig.next.add(new Router.Send(1, WRITER, LONG_MS));
        rig.lastSent().ended(Outcome.READ, 0);
        rig.releasedAtMs.clear();
        double answeredMs = rig.loop.now;
        rig.loop.until(answeredMs + PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).containsExactly(answeredMs + PIN_LIMIT_MS);
    }
}
