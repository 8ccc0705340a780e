package maplerail.core;

import java.util.function.Consumer;

/**
 * Reports breaches of the protocol rules at run time. A breach is counted and logged with the id of its request. It
 * does not end the program, which has other requests to answer.
 */
public final class RuleMonitor {
    /** A rule that was broken, or would have been without a last check. */
    public enum Breach {
        /** A final answer came after the deadline and its slack. */
        ANSWER_LATE,
        /** The module ordered an attempt that the rules forbid; it was not made. */
        SEND_WITHHELD,
        /** The module refused a request that may have run; it was answered as failed. */
        REFUSAL_WITHHELD,
        /** A state was held with no attempt in flight for longer than the settings allow. */
        STATE_HELD
    }

    private final ServiceCounters counters;
    private final Consumer<String> log;
    private final LogRateLimiter logLimit;

    /** Creates a monitor that counts and logs breaches. */
    public RuleMonitor(EventLoop loop, ServiceCounters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
        this.logLimit = new LogRateLimiter(loop);
    }

    void report(Breach breach, String requestId, String detail) {
        counters.count(breach);
        logLimit.rollWindow(); // the number of dropped lines follows from the counters
        if (logLimit.tryAcquire()) log.accept("rule broken: " + breach + " request " + requestId + " " + detail);
    }
}
