package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a deadline that moves while a request waits in a queue or the process is delayed. */
class ServiceRequestTest {
    private static final double BUDGET_MS = 2_000;

    private static ServiceRequest sentAt(double sentMs) {
        return new ServiceRequest("a1", 0, 0, 0, 100, 0, 0, BUDGET_MS, 10, 0, false, 10, null, sentMs);
    }

    @Test
    void theDeadlineDependsOnlyOnTheSendTime() {
        assertThat(sentAt(1_000).deadlineMs(1_000)).isEqualTo(3_000);
        assertThat(sentAt(1_000).deadlineMs(1_700)).isEqualTo(3_000);
    }

    @Test
    void aRequestWithoutASendTimeHasItsFullBudget() {
        assertThat(sentAt(Double.NaN).deadlineMs(1_700)).isEqualTo(3_700);
    }
}
