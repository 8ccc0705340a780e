package maplerail.core;

import static maplerail.core.BrokerRig.OTHER_READER;
import static maplerail.core.BrokerRig.PIN_LIMIT_MS;
import static maplerail.core.BrokerRig.READER;
import static maplerail.core.BrokerRig.WRITER;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A write that was sent on a connection which had fallen silent has not arrived: it is not out, and the time in which
 * the state that it was to fetch must be let go runs on.
 */
class LostWriteTest {
    private static final double SLACK_MS = 300; // of the rule, for the release to arrive
    private static final double READ_MS = 100;
    private static final double LONG_MS = 1e9;

    private final BrokerRig rig = new BrokerRig();

    /** A request whose read has ended now and whose write is out. */
    private EngineTransport.AnswerListener writeOut(int number) {
        rig.take("a" + number, new Router.Send(number, READER, LONG_MS));
        EngineTransport.AnswerListener read = rig.lastSent();
        rig.loop.until(rig.loop.now + READ_MS);
        rig.next.add(new Router.Send(number, WRITER, LONG_MS));
        read.ended(Outcome.READ, 0);
        return rig.lastSent();
    }

    @Test
    void aStateIsLetGoInTimeIfItsWriteIsNotHeardOnAKeptConnection() {
        writeOut(1);
        double readEndedMs = rig.loop.now;
        rig.loop.until(readEndedMs + PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isNotEmpty();
        assertThat(rig.releasedAtMs.get(0)).isLessThan(readEndedMs + PIN_LIMIT_MS + SLACK_MS / 2);
    }

    /** Its reader may read on, and then holds a state after the request has gone on elsewhere and been served. */
    @Test
    void whatAReadLeavesWhoseConnectionBrokeIsLetGoThoughItsRequestWasServed() {
        rig.take("a1", new Router.Send(1, READER, LONG_MS));
        rig.next.add(new Router.Send(1, OTHER_READER, LONG_MS));
        rig.lastSent().ended(Outcome.RESET, 0);
        rig.next.add(new Router.Send(1, WRITER, LONG_MS));
        rig.lastSent().ended(Outcome.READ, 0);
        rig.lastSent().event(new byte[1]);
        rig.lastSent().ended(Outcome.SERVED, 0);
        double servedMs = rig.loop.now;
        rig.loop.until(servedMs + 1_000);
        assertThat(rig.releasedAtMs).hasSizeGreaterThan(1);
        assertThat(rig.releasedAtMs.get(0)).isEqualTo(servedMs);
    }

    /** The system of a process that is stopped takes its connections; only an answer proves that it runs. */
    @Test
    void aStateStaysForAWriteWhoseAnswerHasBegunAndForNoOther() {
        rig.answerBegun = true;
        writeOut(1);
        rig.loop.until(rig.loop.now + 3 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isEmpty();
        rig.answerBegun = false;
        writeOut(2);
        double readEndedMs = rig.loop.now;
        rig.loop.until(readEndedMs + 3 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).contains(readEndedMs + PIN_LIMIT_MS);
    }

    @Test
    void aStateIsLetGoInTimeThoughWritersUsuallyTakeNearlyAsLong() {
        for (int number = 1; number <= 5; number++) {
            EngineTransport.AnswerListener write = writeOut(number);
            rig.loop.until(rig.loop.now + 0.6 * PIN_LIMIT_MS);
            write.event(new byte[1]);
            write.ended(Outcome.SERVED, 0);
        }
        assertThat(rig.releasedAtMs).as("a stream that has begun has taken its state").isEmpty();
        writeOut(6);
        double readEndedMs = rig.loop.now;
        rig.loop.until(readEndedMs + 1.5 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).containsExactly(readEndedMs + PIN_LIMIT_MS);
    }

    /** Neither what is called off nor a connection that does not come up was out for certain: the lease runs on. */
    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "TIMEOUT", "RESET", "UNREACHABLE"})
    void aWriteThatEndsWithNoAnswerDoesNotPutOffTheEndOfTheLease(Outcome unheard) {
        EngineTransport.AnswerListener first = writeOut(1);
        double readEndedMs = rig.loop.now;
        rig.loop.until(readEndedMs + 0.8 * PIN_LIMIT_MS);
        first.ended(unheard, 0);
        rig.loop.until(readEndedMs + 2 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isNotEmpty();
        assertThat(rig.releasedAtMs.get(0)).isLessThanOrEqualTo(readEndedMs + PIN_LIMIT_MS);
    }

    @Test
    void aWriterThatTurnsItsRequestAwayWasRunningAndTheLeaseBeginsAnew() {
        EngineTransport.AnswerListener first = writeOut(1);
        double readEndedMs = rig.loop.now;
        rig.loop.until(readEndedMs + 0.8 * PIN_LIMIT_MS);
        rig.next.add(new Router.Send(1, WRITER, LONG_MS));
        first.ended(Outcome.FULL, 0);
        rig.loop.until(readEndedMs + 1.7 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).isEmpty();
        rig.loop.until(readEndedMs + 2 * PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).containsExactly(readEndedMs + 1.8 * PIN_LIMIT_MS);
    }

    /** The reader's time runs from its answer, whenever this program comes to read that. */
    @Test
    void theLeaseBeginsWhenTheAnswerCanHaveComeThoughTheLoopIsBehind() {
        rig.loop.behindMs = 0.4 * PIN_LIMIT_MS;
        writeOut(1);
        double readAnsweredMs = rig.loop.now - rig.loop.behindMs;
        rig.loop.until(rig.loop.now + PIN_LIMIT_MS);
        assertThat(rig.releasedAtMs).containsExactly(readAnsweredMs + PIN_LIMIT_MS);
    }
}
