package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Rules;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

class EngineAgeTest {
    private static final double WARM_MS = 10_000;
    private static final double HOUR_MS = 3_600_000;

    private final EngineClock clock = new EngineClock(new Rules(8, 500, 0.25, 2.5, 2_000, WARM_MS, 10_000));

    private void report(ListKind kind, double nowMs, Member... members) {
        clock.onList(kind, List.of(members), nowMs);
    }

    private static Member started(long engine, double stampMs) {
        return new Member(engine, State.READY, stampMs, 0, 0, 1, 0);
    }

    /** After an outage of discovery, a report arrives late: the engine has warmed up meanwhile. */
    @Test
    void aReportWithAnExtraDelayMeansAnOlderEngineWhateverTheClocks() {
        report(ListKind.WHOLE, 1_000);
        report(ListKind.CHANGES, 10_000, started(1, 9_000 + HOUR_MS));
        report(ListKind.CHANGES, 20_000, started(2, 14_000 + HOUR_MS));
        report(ListKind.CHANGES, 30_000, started(3, 29_500 + HOUR_MS));
        assertThat(clock.startedMs(1)).isEqualTo(10_000);
        assertThat(clock.startedMs(2)).as("5 s beyond the shortest delay").isEqualTo(15_000);
        assertThat(clock.startedMs(3)).as("a new shortest delay").isEqualTo(30_000);
    }

    @Test
    void anExcessiveDelayMeansThatAClockWasSet() {
        report(ListKind.WHOLE, 1_000);
        report(ListKind.CHANGES, 10_000, started(1, 9_000 + 2 * HOUR_MS));
        report(ListKind.CHANGES, 20_000, started(2, 19_000 + HOUR_MS));
        report(ListKind.CHANGES, 30_000, started(3, 27_000 + HOUR_MS));
        assertThat(clock.startedMs(2)).isEqualTo(20_000);
        assertThat(clock.startedMs(3)).isEqualTo(28_000);
    }

    @Test
    void aHealthyFleetInTheFirstListIsNotCold() {
        report(ListKind.WHOLE, 10 * HOUR_MS, started(1, HOUR_MS), started(2, HOUR_MS + 100), started(3, HOUR_MS + 200));
        assertThat(clock.isCold(clock.startedMs(3), 10 * HOUR_MS)).isFalse();
    }

    @Test
    void aRemovedEngineIsForgotten() {
        report(ListKind.WHOLE, 1_000, started(1, 900));
        clock.forget(1);
        assertThat(clock.startedMs(1)).isZero();
        assertThat(clock.currentCapacity(clock.startedMs(1), 1_000)).isEqualTo(1);
    }
}
