package maplerail.core;

import java.util.function.Consumer;

/**
 * Logs one line for each failed request: its id, how it ended, and each attempt with engine, start, duration and
 * outcome, so that an operator can trace a single request. The number of lines is limited, so that logging does not use
 * processor time when it is scarce.
 */
final class FailureLog {
    private final EventLoop loop;
    private final Consumer<String> log;
    private final LogRateLimiter failureLimit;
    private final LogRateLimiter brokenLimit;

    FailureLog(EventLoop loop, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        this.failureLimit = new LogRateLimiter(loop);
        this.brokenLimit = new LogRateLimiter(loop);
    }

    /** Logs a request that was not served completely. */
    void requestFailed(ActiveRequest active, String ending) {
        logRequest(active, ending, failureLimit);
    }

    /**
     * Logs a stream that was cut off. These lines have a limit of their own, so that many refusals in the same second
     * do not hide a stream that the gateway may have cut.
     */
    void streamBroken(ActiveRequest active, String ending) {
        logRequest(active, ending, brokenLimit);
    }

    private void logRequest(ActiveRequest active, String ending, LogRateLimiter limit) {
        double nowMs = loop.nowMs();
        int dropped = limit.rollWindow();
        if (dropped > 0) log.accept("failed requests not logged: " + dropped);
        if (!limit.tryAcquire()) return;
        double requestSentMs = active.deadlineMs - active.request.budgetMs();
        StringBuilder line = new StringBuilder(160).append("request ").append(active.request.id()).append(" kind ")
                .append(active.request.kind()).append(' ').append(ending).append(" after ")
                .append(Math.round(nowMs - requestSentMs))
                .append(" of ").append(Math.round(active.request.budgetMs())).append(" ms;");
        line.append(active.history(nowMs));
        log.accept(line.toString());
    }
}
