package maplerail.core;

import java.util.function.Consumer;

/**
 * One log line for each request that ended badly: its id, its end, and each of its attempts with engine, start, length
 * and outcome. Whoever looks into a bad day can follow one request from first to last by it. Bounded, so that a bad
 * second does not cost the processor time that it lacks most.
 */
final class FailureLog {
    private final Loop loop;
    private final Consumer<String> log;
    private final LineLimit limit;
    private final LineLimit brokenLimit;

    FailureLog(Loop loop, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        this.limit = new LineLimit(loop);
        this.brokenLimit = new LineLimit(loop);
    }

    /** Tells of a request that was not served whole. */
    void bad(ActiveRequest active, String end) {
        tell(active, end, limit);
    }

    /**
     * Tells of a stream that was broken off. Such lines have a limit of their own: a crowd of refusals in the same second
     * must not hide the one line of a stream that this program may have cut.
     */
    void broken(ActiveRequest active, String end) {
        tell(active, end, brokenLimit);
    }

    private void tell(ActiveRequest active, String end, LineLimit within) {
        double now = loop.nowMs();
        int leftOut = within.leftOut();
        if (leftOut > 0) log.accept("requests ended badly and not told: " + leftOut);
        if (!within.admits()) return;
        double takenMs = active.deadlineMs - active.request.budgetMs();
        StringBuilder line = new StringBuilder(160).append("request ").append(active.request.id()).append(" kind ")
                .append(active.request.kind()).append(' ').append(end).append(" after ")
                .append(Math.round(now - takenMs))
                .append(" of ").append(Math.round(active.request.budgetMs())).append(" ms;");
        line.append(active.history(now));
        log.accept(line.toString());
    }
}
