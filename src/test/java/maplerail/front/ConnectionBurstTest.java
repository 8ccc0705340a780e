package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a crowd that is charged too little for its wait, and against others that are charged for it. */
class ConnectionBurstTest {
    private static final double LOOK_MS = 50;

    private final ConnectionBurst burst = new ConnectionBurst();

    @Test
    void eachOfACrowdMayHaveWaitedSinceItBegan() {
        double last = Double.NaN;
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2) last = burst.recordAccept(nowMs, nowMs - LOOK_MS);
        assertThat(last).isLessThan(1_000);
    }

    @Test
    void clientsThatComeOneByOneForLongAreChargedForNoOthersWait() {
        for (double nowMs = 1_000; nowMs < 60_000; nowMs += 10) {
            assertThat(burst.recordAccept(nowMs, nowMs - LOOK_MS)).isEqualTo(nowMs - LOOK_MS);
        }
    }

    @Test
    void aCrowdIsOverOnceFewerCome() {
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2) burst.recordAccept(nowMs, nowMs - LOOK_MS);
        double nowMs = 1_800;
        assertThat(burst.recordAccept(nowMs, nowMs - LOOK_MS)).isEqualTo(nowMs - LOOK_MS);
    }
}
