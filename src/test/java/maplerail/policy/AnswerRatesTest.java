package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import maplerail.Router.Role;
import org.junit.jupiter.api.Test;

class AnswerRatesTest {
    private static final double FADE_MS = 10_000;

    private final AnswerRates rates = new AnswerRates(FADE_MS);

    @Test
    void isEmptyUntilTheFirstAnswer() {
        assertThat(rates.isEmpty()).isTrue();
        assertThat(rates.perMs(Role.READ, 0)).isZero();
        rates.add(Role.READ, 0);
        assertThat(rates.isEmpty()).isFalse();
    }

    @Test
    void countsRolesSeparately() {
        rates.add(Role.READ, 0);
        assertThat(rates.perMs(Role.READ, 0)).isEqualTo(1 / FADE_MS);
        assertThat(rates.perMs(Role.WRITE, 0)).isZero();
    }

    @Test
    void fadesToOneOverEInTheFadingTime() {
        rates.add(Role.WRITE, 500);
        assertThat(rates.perMs(Role.WRITE, 500 + FADE_MS)).isCloseTo(1 / FADE_MS / Math.E, within(1e-12));
    }

    @Test
    void approachesTheRateOfSteadyAnswers() {
        double intervalMs = 20;
        for (double nowMs = 0; nowMs <= 20 * FADE_MS; nowMs += intervalMs) rates.add(Role.BOTH, nowMs);
        assertThat(rates.perMs(Role.BOTH, 20 * FADE_MS)).isCloseTo(1 / intervalMs, within(0.01 / intervalMs));
    }
}
