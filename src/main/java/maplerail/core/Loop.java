package maplerail.core;

/** The one thread on which the broker lives: its clock and its timers. */
public interface Loop {
    /** Milliseconds of Unix time, with fractions; never goes back. */
    double nowMs();

    /** Runs a task at a time, not before it; the task can be called off. */
    ScheduledTask schedule(double whenMs, Runnable task);

    /** Runs a task once what has arrived by now has been read. */
    ScheduledTask runAfterInput(Runnable task);

    /**
     * What is read now, of connections that are being read, had not arrived by this time: all that had has been handed
     * on. On a loop that is in time this is a little before {@link #nowMs}; on one that is behind, long before.
     */
    double inputArrivedAfterMs();

    /** The same for connections that come in now. */
    double connectionsArrivedAfterMs();

    /** A task that waits for its time. */
    interface ScheduledTask {
        /** Calls the task off; does nothing once it has run. */
        void cancel();
    }
}
