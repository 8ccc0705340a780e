package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackOffTest {
    private static final double TOLD_MS = 6_000; // after which a change counts as told
    private static final double ANSWER_MS = 2_000; // what a busy discovery takes

    /** The next call's answer has to come before what the refused one missed counts as told. */
    @Test
    void theNextCallComesInTimeHoweverManyNodesAndRefusals() {
        for (int nodes : new int[] {1, 14, 100, 1_000}) {
            BackOff waits = new BackOff(nodes, 7);
            double now = 0;
            for (int refusal = 0; refusal < 200; refusal++) {
                double asked = now;
                double refused = asked + (refusal % 2 == 0 ? 1 : ANSWER_MS);
                now = waits.againMs(asked, refused);
                assertThat(now).isBetween(refused + BackOff.LEAST_MS, asked + TOLD_MS - ANSWER_MS);
            }
        }
    }

    /** A hundred nodes that were refused together spread out, so that most of them are answered. */
    @Test
    void nodesRefusedTogetherDoNotComeAgainTogether() {
        double[] times = IntStream.range(0, 100).mapToDouble(seed -> new BackOff(100, seed).againMs(0, 1)).sorted()
                .toArray();
        for (int i = 0; i + 15 < times.length; i++) {
            assertThat(times[i + 15] - times[i]).as("fifteen calls in a twentieth of a second").isGreaterThan(50);
        }
    }
}
