package maplerail.support;

import java.util.PriorityQueue;
import maplerail.core.EventLoop;

/** A loop whose clock the test moves. */
public final class ManualLoop implements EventLoop {
    public double now = 1_000;
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));

    /** For how long what is read now may have lain unread. */
    public double behindMs;

    private record Due(double at, Runnable task) {}

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public ScheduledTask schedule(double whenMs, Runnable task) {
        Due one = new Due(whenMs, task);
        due.add(one);
        return () -> due.remove(one);
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

    /** Moves the clock, running the tasks that come due on the way. */
    public void until(double time) {
        while (!due.isEmpty() && due.peek().at <= time) {
            Due one = due.poll();
            now = Math.max(now, one.at);
            one.task.run();
        }
        now = time;
    }
}
