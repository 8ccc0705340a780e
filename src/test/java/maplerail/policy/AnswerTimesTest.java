package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerTimesTest {
    private final AnswerTimes times = new AnswerTimes();

    @Test
    void theEngineThatAnsweredLastIsChosen() {
        times.record(1, 10);
        times.record(2, 20);
        times.record(1, 30);
        assertThat(times.mostRecent(List.of(1L, 2L, 3L))).contains(1L);
        assertThat(times.mostRecent(List.of(2L, 3L))).contains(2L);
        assertThat(times.mostRecent(List.of(3L))).as("though it never answered").contains(3L);
        assertThat(times.mostRecent(List.of())).isEmpty();
    }

    @Test
    void oldAnswersAreForgotten() {
        times.record(1, 0);
        times.record(2, 60_000);
        assertThat(times.lastMs(1)).isEqualTo(Double.NEGATIVE_INFINITY);
        assertThat(times.lastMs(2)).isEqualTo(60_000);
    }
}
