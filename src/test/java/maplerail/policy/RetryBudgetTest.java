package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private void arrivals(int count, double recentArrivals) {
        for (int i = 0; i < count; i++) budget.onArrival(recentArrivals);
    }

    private int retriesLeft() {
        int retries = 0;
        for (; budget.allowsRetry(); retries++) budget.spend();
        return retries;
    }

    @Test
    void startsWithOneRetry() {
        assertThat(retriesLeft()).isEqualTo(1);
    }

    @Test
    void savesRetriesForAFifthOfTheRecentArrivals() {
        arrivals(100, 20);
        assertThat(retriesLeft()).isEqualTo(4);
    }

    @Test
    void savesAtMostTenRetries() {
        arrivals(1_000, 1_000);
        assertThat(retriesLeft()).isEqualTo(10);
    }

    @Test
    void spendingAnEmptyBudgetAddsNoDebt() {
        for (int i = 0; i < 100; i++) budget.spend();
        assertThat(budget.allowsRetry()).isFalse();
        arrivals(6, 100); // 1.2 retries
        assertThat(budget.allowsRetry()).isTrue();
    }

    @Test
    void mayBeOverdrawnByFiveRetriesThatArrivalsPayBack() {
        int retriesTaken = 0;
        for (; budget.allowsOverdraft(); retriesTaken++) budget.overdraw();
        assertThat(retriesTaken).isEqualTo(6); // the one saved and five more
        arrivals(29, 100); // 5.8 retries
        assertThat(budget.allowsRetry()).isFalse();
        arrivals(2, 100); // 6.2 retries
        assertThat(budget.allowsRetry()).isTrue();
    }

    @Test
    void spendingWhileOverdrawnLeavesTheDebtUnchanged() {
        for (int i = 0; i < 3; i++) budget.overdraw(); // from 1 to -2
        budget.spend();
        arrivals(16, 100); // 3.2 retries
        assertThat(budget.allowsRetry()).isTrue();
    }
}
