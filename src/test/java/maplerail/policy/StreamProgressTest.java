package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamProgressTest {
    private static final AnswerLimits LIMITS = new AnswerLimits(1_000, 10, 100);
    private static final double STALL_MS = StreamProgress.STALL_TIMEOUT_MS;

    private final StreamProgress progress = new StreamProgress(LIMITS, 0);

    /** Guards against cutting an answer whose engine writes it, however slowly. */
    @Test
    void aStreamMayGoOnAsLongAsTextOfItsEventsArrives() {
        for (int bytes = 1; bytes <= 100; bytes++) {
            assertThat(progress.endByMs()).isEqualTo((bytes - 1) * 4_000 + STALL_MS);
            progress.textArrived(bytes * 4_000, bytes);
        }
        assertThat(progress.flaw()).isEqualTo(StreamProgress.Flaw.STALLED);
    }

    /** Guards against an event that never ends: it may be large or slow, but not both. */
    @Test
    void anEventThatIsLargerThanItsAnswerMayNotTakeLong() {
        progress.textArrived(1_000, 50);
        progress.textArrived(4_000, 101);
        assertThat(progress.endByMs()).isEqualTo(1_000 + STALL_MS);
        assertThat(progress.flaw()).isEqualTo(StreamProgress.Flaw.ENDLESS_EVENT);
        progress.eventArrived(5_000);
        progress.textArrived(5_000, 10);
        assertThat(progress.endByMs()).isEqualTo(5_000 + STALL_MS);
    }

    /** Guards against taking what follows the last event for progress. */
    @Test
    void nothingBehindTheLastEventIsProgress() {
        progress.eventArrived(1_000);
        progress.lastEventArrived(1_000);
        progress.eventArrived(3_000);
        progress.lastEventArrived(3_000);
        progress.textArrived(4_000, 10);
        assertThat(progress.endByMs()).isEqualTo(1_000 + STALL_MS);
        assertThat(progress.flaw()).isEqualTo(StreamProgress.Flaw.NO_END);
    }

    /** Guards against counting the time in which a slow client held the stream back. */
    @Test
    void aPauseIsNotCounted() {
        progress.textArrived(1_000, 101);
        progress.resumed(20_000);
        assertThat(progress.endByMs()).isEqualTo(20_000 + STALL_MS);
        progress.lastEventArrived(20_500);
        progress.resumed(30_000);
        assertThat(progress.endByMs()).isEqualTo(30_000 + STALL_MS);
    }

    @ParameterizedTest
    @CsvSource({"0,1048576,2147483647,65536", "-5,1048576,2147483647,65536", "NaN,1048576,2147483647,65536",
            "100,167936,116,22784", "1000000,1048576,1000016,262144", "1e300,1048576,2147483647,262144"})
    void limitsFollowFromTheTokensOfAnAnswer(double tokens, int chunkBytes, int chunkEvents, int slowEventBytes) {
        assertThat(AnswerLimits.of(tokens)).isEqualTo(new AnswerLimits(chunkBytes, chunkEvents, slowEventBytes));
    }
}
