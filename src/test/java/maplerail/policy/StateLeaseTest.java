package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class StateLeaseTest {
    private static final double TERM_MS = 500;
    private static final double START_MS = 1_000;
    private static final double MARGIN_MS = 10;

    private final StateLease lease = new StateLease(TERM_MS, START_MS);

    @ParameterizedTest
    @EnumSource(names = {"SERVED", "READ", "ERROR", "FULL", "STATE_GONE"})
    void anAnswerRenewsTheTerm(Outcome answer) {
        lease.onAttemptEnded(answer, START_MS + 300);
        assertThat(lease.expiresMs()).isEqualTo(START_MS + 300 + TERM_MS);
    }

    @ParameterizedTest
    @EnumSource(names = {"TIMEOUT", "UNREACHABLE", "RESET", "CANCELLED", "NOT_SENT"})
    void anOutcomeObservedOnThisSideDoesNotRenewTheTerm(Outcome outcome) {
        lease.onAttemptEnded(outcome, START_MS + 300);
        assertThat(lease.expiresMs()).isEqualTo(START_MS + TERM_MS);
    }

    /** A write that is sent late, or to writers that are usually slow, must be given up within the term too. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, 0, 40, 130, 390, 5_000})
    void aSilentWriteIsGivenUpWithinTheTermHoweverLongWritersTake(double usualWaitMs) {
        for (double sentAfterMs = 0; sentAfterMs <= TERM_MS; sentAfterMs += 10) {
            double reclaimAtMs = lease.reclaimAtMs(START_MS + sentAfterMs, usualWaitMs, MARGIN_MS);
            assertThat(reclaimAtMs).isBetween(START_MS + 0.7 * TERM_MS, START_MS + TERM_MS - MARGIN_MS);
        }
    }

    @Test
    void theStateIsHeldUntilTheSilenceIsUnusualIfTheTermAllowsIt() {
        assertThat(lease.reclaimAtMs(START_MS, 20, MARGIN_MS)).isEqualTo(START_MS + 350);
        assertThat(lease.reclaimAtMs(START_MS, 140, MARGIN_MS)).isEqualTo(START_MS + 420);
        assertThat(lease.reclaimAtMs(START_MS + 260, 50, MARGIN_MS)).isEqualTo(START_MS + 410);
    }

    /**
     * For attempts that end in any order, the term ends at the same time if there is no answer in between; each answer
     * postpones it by less than a term.
     */
    @Test
    void noSequenceOfOutcomesWithoutAnAnswerPostponesTheEnd() {
        checkAllSequences(new StateLease(TERM_MS, START_MS), START_MS, START_MS, 4);
    }

    private static void checkAllSequences(StateLease current, double nowMs, double lastAnswerMs, int depth) {
        assertThat(current.expiresMs()).isEqualTo(lastAnswerMs + TERM_MS);
        if (depth == 0) return;
        for (Outcome outcome : EnumSet.allOf(Outcome.class)) {
            double endedMs = nowMs + 100;
            StateLease next = new StateLease(TERM_MS, current.termStartMs());
            next.onAttemptEnded(outcome, endedMs);
            checkAllSequences(next, endedMs, StateLease.isEngineAnswer(outcome) ? endedMs : lastAnswerMs, depth - 1);
        }
    }
}
