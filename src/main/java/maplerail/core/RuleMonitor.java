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

    private final ServiceCounters counters;
    private final Consumer<String> log;
    private final LineLimit limit;

    /** Makes a monitor that counts and logs. */
    public RuleMonitor(Loop loop, ServiceCounters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
        this.limit = new LineLimit(loop);
    }

    void breach(Breach breach, String requestId, String detail) {
        counters.count(breach);
        limit.leftOut(); // the counters tell how many there were
        if (limit.admits()) log.accept("rule broken: " + breach + " request " + requestId + " " + detail);
    }
}
