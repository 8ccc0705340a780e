package maplerail.core;

import java.util.function.Consumer;

/**
 * Checks the protocol's rules while the gateway runs. A breach that is seen is counted and told with the id of its
 * request; it never ends the program, which has other requests to answer.
 */
public final class RuleMonitor {
    /** What was broken, or would have been without the check at the last moment. */
    public enum Breach {
        /** A final answer came after the deadline and its slack. */
        ANSWER_LATE,
        /** The module ordered an attempt that the rules forbid; it was not made. */
        SEND_WITHHELD,
        /** The module ordered a refusal of what may have run; it was answered as failed. */
        REFUSAL_WITHHELD,
        /** A state stayed held, with no attempt out, for longer than the settings allow. */
        STATE_HELD
    }

    private static final int MOST_LINES = 20;
    private static final double WINDOW_MS = 1_000;

    private final Loop loop;
    private final ServiceCounters counters;
    private final Consumer<String> log;
    private double windowMs = Double.NEGATIVE_INFINITY;
    private int lines;

    /** Makes a monitor that counts and logs. */
    public RuleMonitor(Loop loop, ServiceCounters counters, Consumer<String> log) {
        this.loop = loop;
        this.counters = counters;
        this.log = log;
    }

    void breach(Breach breach, String requestId, String detail) {
        counters.count(breach);
        double now = loop.nowMs();
        if (now - windowMs >= WINDOW_MS) {
            windowMs = now;
            lines = 0;
        }
        if (++lines <= MOST_LINES) log.accept("rule broken: " + breach + " request " + requestId + " " + detail);
    }
}
