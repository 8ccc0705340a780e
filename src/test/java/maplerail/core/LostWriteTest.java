package maplerail.core;

import static maplerail.core.BrokerFixture.OTHER_READER;
import static maplerail.core.BrokerFixture.PIN_LIMIT_MS;
import static maplerail.core.BrokerFixture.READER;
import static maplerail.core.BrokerFixture.WRITER;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a write that is lost on a connection which had fallen silent: the write does not count as in flight,
 * and the time in which the state that it was to fetch must be released continues to run.
 */
class LostWriteTest {
    private static final double RELEASE_SLACK_MS = 300; // allowed by the rule for the release to arrive
    private static final double READ_DURATION_MS = 100;
    private static final double FAR_FUTURE_MS = 1e9;

    private final BrokerFixture fixture = new BrokerFixture();

    /** Starts a request whose read has just ended and whose write is in flight. */
    private EngineTransport.AnswerListener startWrite(int number) {
        fixture.submit("a" + number, new Router.Send(number, READER, FAR_FUTURE_MS));
        EngineTransport.AnswerListener read = fixture.lastListener();
        fixture.loop.runUntil(fixture.loop.now + READ_DURATION_MS);
        fixture.nextActions.add(new Router.Send(number, WRITER, FAR_FUTURE_MS));
        read.ended(Outcome.READ, 0);
        return fixture.lastListener();
    }

    @Test
    void aStateIsReleasedInTimeIfItsWriteIsLostOnAReusedConnection() {
        startWrite(1);
        double readEndedMs = fixture.loop.now;
        fixture.loop.runUntil(readEndedMs + PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isNotEmpty();
        assertThat(fixture.releaseTimesMs.get(0)).isLessThan(readEndedMs + PIN_LIMIT_MS + RELEASE_SLACK_MS / 2);
    }

    /** The reader may finish a reset read and hold its state after the request was served elsewhere. */
    @Test
    void theStateOfAResetReadIsReleasedAfterItsRequestWasServed() {
        fixture.submit("a1", new Router.Send(1, READER, FAR_FUTURE_MS));
        fixture.nextActions.add(new Router.Send(1, OTHER_READER, FAR_FUTURE_MS));
        fixture.lastListener().ended(Outcome.RESET, 0);
        fixture.nextActions.add(new Router.Send(1, WRITER, FAR_FUTURE_MS));
        fixture.lastListener().ended(Outcome.READ, 0);
        fixture.lastListener().event(new byte[1]);
        fixture.lastListener().ended(Outcome.SERVED, 0);
        double servedMs = fixture.loop.now;
        fixture.loop.runUntil(servedMs + 1_000);
        assertThat(fixture.releaseTimesMs).hasSizeGreaterThan(1);
        assertThat(fixture.releaseTimesMs.get(0)).isEqualTo(servedMs);
    }

    /** The operating system accepts connections for a stopped process; only an answer proves that it runs. */
    @Test
    void aStateIsKeptOnlyForAWriteWhoseAnswerHasStarted() {
        fixture.responseStarted = true;
        startWrite(1);
        fixture.loop.runUntil(fixture.loop.now + 3 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isEmpty();
        fixture.responseStarted = false;
        startWrite(2);
        double readEndedMs = fixture.loop.now;
        fixture.loop.runUntil(readEndedMs + 3 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).contains(readEndedMs + PIN_LIMIT_MS);
    }

    @Test
    void aStateIsReleasedInTimeThoughWritersUsuallyTakeNearlyAsLong() {
        for (int number = 1; number <= 5; number++) {
            EngineTransport.AnswerListener write = startWrite(number);
            fixture.loop.runUntil(fixture.loop.now + 0.6 * PIN_LIMIT_MS);
            write.event(new byte[1]);
            write.ended(Outcome.SERVED, 0);
        }
        assertThat(fixture.releaseTimesMs).as("a stream that has started has fetched its state").isEmpty();
        startWrite(6);
        double readEndedMs = fixture.loop.now;
        fixture.loop.runUntil(readEndedMs + 1.5 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).containsExactly(readEndedMs + PIN_LIMIT_MS);
    }

    /**
     * Neither a cancelled write nor a connection that failed proves that the write was in flight: the lease continues to
     * run.
     */
    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "TIMEOUT", "RESET", "UNREACHABLE"})
    void aWriteThatEndsUnansweredDoesNotExtendTheLease(Outcome outcome) {
        EngineTransport.AnswerListener first = startWrite(1);
        double readEndedMs = fixture.loop.now;
        fixture.loop.runUntil(readEndedMs + 0.8 * PIN_LIMIT_MS);
        first.ended(outcome, 0);
        fixture.loop.runUntil(readEndedMs + 2 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isNotEmpty();
        assertThat(fixture.releaseTimesMs.get(0)).isLessThanOrEqualTo(readEndedMs + PIN_LIMIT_MS);
    }

    /** A refusal proves that the writer was running. */
    @Test
    void aRefusalByAWriterRenewsTheLease() {
        EngineTransport.AnswerListener first = startWrite(1);
        double readEndedMs = fixture.loop.now;
        fixture.loop.runUntil(readEndedMs + 0.8 * PIN_LIMIT_MS);
        fixture.nextActions.add(new Router.Send(1, WRITER, FAR_FUTURE_MS));
        first.ended(Outcome.FULL, 0);
        fixture.loop.runUntil(readEndedMs + 1.7 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).isEmpty();
        fixture.loop.runUntil(readEndedMs + 2 * PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).containsExactly(readEndedMs + 1.8 * PIN_LIMIT_MS);
    }

    /** The reader's time runs from its answer, no matter when the gateway reads that answer. */
    @Test
    void theLeaseStartsAtTheEarliestArrivalOfTheAnswerOnALaggingLoop() {
        fixture.loop.behindMs = 0.4 * PIN_LIMIT_MS;
        startWrite(1);
        double readAnsweredMs = fixture.loop.now - fixture.loop.behindMs;
        fixture.loop.runUntil(fixture.loop.now + PIN_LIMIT_MS);
        assertThat(fixture.releaseTimesMs).containsExactly(readAnsweredMs + PIN_LIMIT_MS);
    }
}
