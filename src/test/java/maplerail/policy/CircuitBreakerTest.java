package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CircuitBreakerTest {
    private final CircuitBreaker breaker = new CircuitBreaker();

    @Test
    void isClosedAtFirstAndAdmitsAnyNumber() {
        assertThat(breaker.isTripped()).isFalse();
        assertThat(breaker.isOpen(0)).isFalse();
        assertThat(breaker.admits(1_000, 0)).isTrue();
    }

    @Test
    void admitsNothingWhileOpenAndThenOneAttempt() {
        breaker.open(0, 100);
        assertThat(breaker.isOpen(1_099)).isTrue();
        assertThat(breaker.admits(0, 1_099)).isFalse();
        assertThat(breaker.isOpen(1_100)).isFalse();
        assertThat(breaker.isTripped()).isTrue();
        assertThat(breaker.admits(0, 1_100)).isTrue();
        assertThat(breaker.admits(1, 1_100)).isFalse();
    }

    @Test
    void eachSuccessDoublesTheLimitInFlightAndTheFourthCloses() {
        breaker.open(0, 0);
        for (int limit = 1; limit <= 8; limit *= 2) {
            assertThat(breaker.admits(limit - 1, 1_000)).isTrue();
            assertThat(breaker.admits(limit, 1_000)).isFalse();
            breaker.onSuccess(1_000);
        }
        assertThat(breaker.isTripped()).isFalse();
    }

    @Test
    void successesDoNotCountWhileOpen() {
        breaker.open(0, 0);
        for (int i = 0; i < 10; i++) breaker.onSuccess(999);
        assertThat(breaker.isTripped()).isTrue();
        assertThat(breaker.admits(1, 1_000)).isFalse();
    }

    /** Number of openings in a row, minimum open time of the call, and the resulting open time. */
    @ParameterizedTest
    @CsvSource({"1,0,1000", "2,0,2000", "3,0,4000", "4,0,8000", "40,0,8000", "1,3000,3000", "1,1e9,8000"})
    void staysOpenTwiceAsLongEachTimeUpToTheMaximum(int openings, double minOpenMs, double openMs) {
        double nowMs = 0;
        for (int i = 1; i <= openings; i++) {
            nowMs += 10_000;
            breaker.open(minOpenMs, nowMs);
        }
        assertThat(breaker.isOpen(nowMs + openMs - 1)).isTrue();
        assertThat(breaker.isOpen(nowMs + openMs)).isFalse();
    }

    @Test
    void startsAgainWithTheInitialTimeAfterClosing() {
        breaker.open(0, 0);
        breaker.open(0, 1_000);
        for (int i = 0; i < 4; i++) breaker.onSuccess(10_000);
        breaker.open(0, 20_000);
        assertThat(breaker.isOpen(20_999)).isTrue();
        assertThat(breaker.isOpen(21_000)).isFalse();
    }
}
