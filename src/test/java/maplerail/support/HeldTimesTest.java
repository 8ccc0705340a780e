package maplerail.support;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What counts as held when releases and attempts cross, by the protocol's rules on releases. */
class HeldTimesTest {
    private static final String ID = "a1";
    private static final double LONG_MS = 10 * HeldTimes.LIMIT_MS;

    private double nowMs = 1_000;
    private final HeldTimes times = new HeldTimes(() -> nowMs);

    @BeforeEach
    void readAndSentOn() {
        times.out(ID);
        times.held(ID);
        times.out(ID);
    }

    private void assertHeldForTooLong() {
        nowMs += LONG_MS;
        assertThatThrownBy(() -> times.assertLetGoInTime(ID)).isInstanceOf(AssertionError.class)
                .hasMessageContaining("the last for longer");
    }

    @Test
    void aDeclineLeavesTheStateHeld() {
        times.declined(ID);
        assertHeldForTooLong();
    }

    /** Guards against holding a gateway to a state that its reader let go of before the write came. */
    @Test
    void aDeclineOfAWriteThatCameAfterTheReleaseLeavesNothingHeld() throws InterruptedException {
        times.declined(ID);
        times.released(ID);
        times.out(ID);
        times.declined(ID);
        nowMs += LONG_MS;
        times.assertLetGoInTime(ID);
    }

    @Test
    void aReleaseWhileAWriteWaitsDoesNothing() {
        times.released(ID);
        times.declined(ID);
        assertHeldForTooLong();
    }

    @Test
    void aStateThatIsReadAgainAfterTheReleaseIsHeld() {
        times.declined(ID);
        times.released(ID);
        times.out(ID);
        times.held(ID);
        assertHeldForTooLong();
    }

    @Test
    void aReleaseThatComesTooLateIsTold() {
        times.declined(ID);
        nowMs += HeldTimes.LIMIT_MS;
        times.released(ID);
        assertThatThrownBy(() -> times.assertLetGoInTime(ID)).isInstanceOf(AssertionError.class)
                .hasMessageContaining("then let go");
    }
}
