package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackOffTest {
    /** Time after which a change counts as known to the node. */
    private static final double KNOWN_AFTER_MS = 6_000;
    /** Response time of a busy discovery service. */
    private static final double BUSY_RESPONSE_MS = 2_000;

    /** The response to the next call has to arrive before a change missed by the refused call counts as known. */
    @Test
    void nextCallIsInTimeForAnyNumberOfNodesAndRefusals() {
        for (int nodes : new int[] {1, 14, 100, 1_000}) {
            BackOff backOff = new BackOff(nodes, 7);
            double nowMs = 0;
            for (int refusal = 0; refusal < 200; refusal++) {
                double sentMs = nowMs;
                double refusedMs = sentMs + (refusal % 2 == 0 ? 1 : BUSY_RESPONSE_MS);
                nowMs = backOff.nextCallMs(sentMs, refusedMs);
                assertThat(nowMs).isBetween(refusedMs + BackOff.MIN_DELAY_MS,
                        sentMs + KNOWN_AFTER_MS - BUSY_RESPONSE_MS);
            }
        }
    }

    /** A hundred nodes that were refused together spread their calls, so that most of them are served. */
    @Test
    void nodesRefusedTogetherDoNotRetryTogether() {
        double[] times = IntStream.range(0, 100).mapToDouble(seed -> new BackOff(100, seed).nextCallMs(0, 1)).sorted()
                .toArray();
        for (int i = 0; i + 15 < times.length; i++) {
            assertThat(times[i + 15] - times[i]).as("milliseconds that sixteen calls are spread over")
                    .isGreaterThan(50);
        }
    }
}
