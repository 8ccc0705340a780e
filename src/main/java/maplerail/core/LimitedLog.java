package maplerail.core;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** A log with a limit on the lines of a time window. A line beyond the limit is not built; counters tell of it. */
final class LimitedLog {
    private final Consumer<String> log;
    private final LogRateLimiter limit;

    LimitedLog(EventLoop loop, Consumer<String> log) {
        this.log = log;
        this.limit = new LogRateLimiter(loop);
    }

    /** Writes a line if the limit allows it. */
    void write(Supplier<String> line) {
        limit.rollWindow();
        if (limit.tryAcquire()) log.accept(line.get());
    }
}
