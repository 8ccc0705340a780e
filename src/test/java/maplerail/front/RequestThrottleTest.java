package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import maplerail.core.EventLoop;
import org.junit.jupiter.api.Test;

/** Guards against a flood of requests that keeps the loop from its timers and from other connections. */
class RequestThrottleTest {
    private final ArrayDeque<Runnable> afterInput = new ArrayDeque<>();
    private final List<Integer> handled = new ArrayList<>();
    private final RequestThrottle throttle = new RequestThrottle(new EventLoop() {
        @Override
        public double nowMs() {
            return 0;
        }

        @Override
        public ScheduledTask schedule(double whenMs, Runnable task) {
            throw new AssertionError("no timer is needed");
        }

        @Override
        public ScheduledTask runAfterInput(Runnable task) {
            afterInput.add(task);
            return () -> afterInput.remove(task);
        }

        @Override
        public double inputArrivedAfterMs() {
            return nowMs();
        }

        @Override
        public double connectionsArrivedAfterMs() {
            return nowMs();
        }
    });

    private void arrive(int request) {
        if (throttle.tryHandleNow()) handled.add(request);
        else throttle.execute(() -> handled.add(request));
    }

    @Test
    void excessRequestsWaitForTheNextTurnInOrder() {
        int count = 2 * RequestThrottle.REQUESTS_PER_TURN + 3;
        for (int request = 0; request < count; request++) arrive(request);
        assertThat(handled).hasSize(RequestThrottle.REQUESTS_PER_TURN);
        afterInput.poll().run();
        assertThat(handled).hasSize(2 * RequestThrottle.REQUESTS_PER_TURN);
        arrive(count);
        assertThat(handled).as("other requests are already queued").hasSize(2 * RequestThrottle.REQUESTS_PER_TURN);
        afterInput.poll().run();
        assertThat(handled).hasSize(count + 1).isSorted();
    }

    @Test
    void fewRequestsAreHandledAtOnceAndLeaveNoTaskScheduled() {
        arrive(1);
        assertThat(handled).containsExactly(1);
        while (!afterInput.isEmpty()) afterInput.poll().run();
        arrive(2);
        assertThat(handled).containsExactly(1, 2);
    }
}
