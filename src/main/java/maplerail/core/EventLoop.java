package maplerail.core;

/** Clock and timers of the single-threaded event loop that runs the broker. */
public interface EventLoop {
    /** Unix time in milliseconds, with fractions. Never goes back. */
    double nowMs();

    /** Runs a task at or after the given time. */
    ScheduledTask schedule(double whenMs, Runnable task);

    /** Runs a task once all input that has arrived by now has been read. */
    ScheduledTask runAfterInput(Runnable task);

    /**
     * Lower bound for the arrival time of input that is read now from open connections: all earlier input has been
     * processed. Slightly before {@link #nowMs} if the loop keeps up, long before it if the loop is behind.
     */
    double inputArrivedAfterMs();

    /** Lower bound for the arrival time of connections that are accepted now. */
    double connectionsArrivedAfterMs();

    /** A scheduled task that can be cancelled. */
    interface ScheduledTask {
        /** Cancels the task. Does nothing once it has run. */
        void cancel();
    }
}
