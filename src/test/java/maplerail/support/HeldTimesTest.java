package maplerail.support;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what counts as held when releases and attempts cross, by the protocol's rules on releases. */
class HeldTimesTest {
    private static final String ID = "a1";
    private static final double LONG_MS = 10 * HeldTimes.LIMIT_MS;

    private double nowMs = 1_000;
    private final HeldTimes times = new HeldTimes(() -> nowMs);

    @BeforeEach
    void startWithReadThenWrite() {
        times.attemptInFlight(ID);
        times.held(ID);
        times.attemptInFlight(ID);
    }

    private void assertReportedAsStillHeld() {
        nowMs += LONG_MS;
        assertThatThrownBy(() -> times.assertReleasedInTime(ID)).isInstanceOf(AssertionError.class)
                .hasMessageContaining("still held now");
    }

    @Test
    void aDeclineLeavesTheStateHeld() {
        times.declined(ID);
        assertReportedAsStillHeld();
    }

    /** Guards against blaming a gateway for a state that its reader freed before the write arrived. */
    @Test
    void aDeclineOfAWriteThatArrivedAfterTheReleaseLeavesNothingHeld() throws InterruptedException {
        times.declined(ID);
        times.released(ID);
        times.attemptInFlight(ID);
        times.declined(ID);
        nowMs += LONG_MS;
        times.assertReleasedInTime(ID);
    }

    @Test
    void aReleaseWhileAWriteWaitsHasNoEffect() {
        times.released(ID);
        times.declined(ID);
        assertReportedAsStillHeld();
    }

    @Test
    void aStateThatIsReadAgainAfterTheReleaseIsHeld() {
        times.declined(ID);
        times.released(ID);
        times.attemptInFlight(ID);
        times.held(ID);
        assertReportedAsStillHeld();
    }

    @Test
    void aLateReleaseIsReported() {
        times.declined(ID);
        nowMs += HeldTimes.LIMIT_MS;
        times.released(ID);
        assertThatThrownBy(() -> times.assertReleasedInTime(ID)).isInstanceOf(AssertionError.class)
                .hasMessageContaining("no longer held");
    }
}
