package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router.Arrival;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BoundsTest {

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.NEGATIVE_INFINITY, -1, -0.0, 0})
    void invalidLengthsBecomeZero(double value) {
        assertThat(Bounds.clamp(value)).isEqualTo(0.0);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1e7, 1e7 + 1, Double.MAX_VALUE, Double.POSITIVE_INFINITY})
    void lengthsAreLimitedToTheMaximum(double value) {
        assertThat(Bounds.clamp(value)).isEqualTo(Bounds.MAX);
    }

    @Test
    void allNumbersOfAnArrivalAreClampedAndOtherFieldsAreKept() {
        Arrival arrival = new Arrival(7, 1, 2, 3, Double.NaN, 4, -5, 1e300, Double.POSITIVE_INFINITY, 6, true);
        assertThat(Bounds.clamp(arrival))
                .isEqualTo(new Arrival(7, 1, 2, 3, 0, 4, 0, Bounds.MAX, Bounds.MAX, 6, true));
    }

    @Test
    void anArrivalWithinTheBoundsIsUnchanged() {
        Arrival arrival = new Arrival(7, 1, 2, -3, 1_000, -4, 500, 30_000, 250, 0, false);
        assertThat(Bounds.clamp(arrival)).isEqualTo(arrival);
    }
}
