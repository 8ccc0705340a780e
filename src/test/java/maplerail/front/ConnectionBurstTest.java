package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a crowd that is charged too little for its wait, and against others that are charged for it. */
class ConnectionBurstTest {
    private static final double LOOK_MS = 50;
    private static final int BACKLOG = 400;

    private final ConnectionBurst burst = new ConnectionBurst(BACKLOG);

    @Test
    void eachOfACrowdMayHaveWaitedSinceItBegan() {
        double last = Double.NaN;
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2) last = burst.notBeforeMs(nowMs, nowMs - LOOK_MS);
        assertThat(last).isLessThan(1_000);
    }

    @Test
    void clientsThatComeOneByOneForLongAreChargedForNoOthersWait() {
        for (double nowMs = 1_000; nowMs < 60_000; nowMs += 10) {
            assertThat(burst.notBeforeMs(nowMs, nowMs - LOOK_MS)).isEqualTo(nowMs - LOOK_MS);
        }
    }

    @Test
    void aCrowdIsOverOnceFewerCome() {
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2) burst.notBeforeMs(nowMs, nowMs - LOOK_MS);
        double nowMs = 1_800;
        assertThat(burst.notBeforeMs(nowMs, nowMs - LOOK_MS)).isEqualTo(nowMs - LOOK_MS);
    }

    @Test
    void noCrowdIsOverWhileAllPlacesAreTaken() {
        for (double nowMs = 1_000; nowMs < 1_100; nowMs += 2) burst.notBeforeMs(nowMs, nowMs - LOOK_MS);
        for (double nowMs = 1_100; nowMs < 2_000; nowMs += LOOK_MS) burst.full(nowMs);
        assertThat(burst.notBeforeMs(2_010, 2_010 - LOOK_MS)).isLessThan(1_000);
        assertThat(burst.notBeforeMs(2_200, 2_200 - LOOK_MS)).isEqualTo(2_200 - LOOK_MS);
    }

    @Test
    void noneHasWaitedForLongerThanItTakesToEmptyAFullQueue() {
        double last = Double.NaN;
        for (double nowMs = 1_000; nowMs < 5_000; nowMs += 2) last = burst.notBeforeMs(nowMs, nowMs - LOOK_MS);
        assertThat(last).isBetween(4_998 - LOOK_MS - 2 * (BACKLOG + 2), 4_998 - LOOK_MS - 2 * BACKLOG);
    }
}
