package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against bursts that are charged too little for their wait, and other clients that are charged for them. */
class ConnectionBurstTest {
    private static final double ACCEPT_INTERVAL_MS = 50;

    private final ConnectionBurst burst = new ConnectionBurst();

    @Test
    void connectionsOfABurstMayHaveWaitedSinceItsStart() {
        double last = Double.NaN;
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2)
            last = burst.recordAccept(nowMs, nowMs - ACCEPT_INTERVAL_MS);
        assertThat(last).isLessThan(1_000);
    }

    @Test
    void clientsThatArriveOneByOneAreNotChargedForOthers() {
        for (double nowMs = 1_000; nowMs < 60_000; nowMs += 10) {
            assertThat(burst.recordAccept(nowMs, nowMs - ACCEPT_INTERVAL_MS)).isEqualTo(nowMs - ACCEPT_INTERVAL_MS);
        }
    }

    @Test
    void burstEndsOnceFewerClientsArrive() {
        for (double nowMs = 1_000; nowMs < 1_600; nowMs += 2) burst.recordAccept(nowMs, nowMs - ACCEPT_INTERVAL_MS);
        double nowMs = 1_800;
        assertThat(burst.recordAccept(nowMs, nowMs - ACCEPT_INTERVAL_MS)).isEqualTo(nowMs - ACCEPT_INTERVAL_MS);
    }
}
