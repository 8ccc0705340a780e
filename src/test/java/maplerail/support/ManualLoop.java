package maplerail.support;

import java.util.PriorityQueue;
import maplerail.core.EventLoop;

/** An event loop whose clock is advanced by the test. */
public final class ManualLoop implements EventLoop {
    public double now = 1_000;
    private final PriorityQueue<DueTask> due = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));

    /** How long ago input that is read now may have arrived, in milliseconds. */
    public double behindMs;

    private record DueTask(double atMs, Runnable task) {}

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public ScheduledTask schedule(double whenMs, Runnable task) {
        DueTask next = new DueTask(whenMs, task);
        due.add(next);
        return () -> due.remove(next);
    }

    @Override
    public ScheduledTask runAfterInput(Runnable task) {
        return schedule(now, task);
    }

    @Override
    public double inputArrivedAfterMs() {
        return now - behindMs;
    }

    @Override
    public double connectionsArrivedAfterMs() {
        return now - behindMs;
    }

    /** Advances the clock to a time and runs the tasks that become due until then. */
    public void runUntil(double timeMs) {
        while (!due.isEmpty() && due.peek().atMs <= timeMs) {
            DueTask next = due.poll();
            now = Math.max(now, next.atMs);
            next.task.run();
        }
        now = timeMs;
    }
}
