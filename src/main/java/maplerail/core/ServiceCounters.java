package maplerail.core;

import java.util.Comparator;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts events, identified by the constants of enums such as {@link RuleMonitor.Breach} or
 * {@link maplerail.Router.Outcome}. All counts are logged in one line at exit, if any has changed, and by the first event
 * counted after each log interval.
 */
public final class ServiceCounters {
    private static final double LOG_INTERVAL_MS = 10_000;
    private static final Comparator<Enum<?>> BY_NAME = Comparator
            .comparing((Enum<?> event) -> event.getDeclaringClass().getSimpleName()).thenComparing(Enum::name);

    private final EventLoop loop;
    private final Consumer<String> log;
    private final TreeMap<Enum<?>, Long> counts = new TreeMap<>(BY_NAME);
    private double loggedMs;
    private boolean changed;

    /** Creates counters that start at zero. */
    public ServiceCounters(EventLoop loop, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        loggedMs = loop.nowMs();
    }

    /** Increments the count of an event. */
    public void count(Enum<?> event) {
        counts.merge(event, 1L, Long::sum);
        changed = true;
        if (loop.nowMs() - loggedMs >= LOG_INTERVAL_MS) logChanges();
    }

    /** Returns the count of an event. */
    public long get(Enum<?> event) {
        return counts.getOrDefault(event, 0L);
    }

    /** Logs all counts unless none has changed since they were last logged. */
    public void logChanges() {
        loggedMs = loop.nowMs();
        if (!changed) return;
        changed = false;
        StringBuilder line = new StringBuilder(256).append("counts so far:");
        counts.forEach((event, count) -> line.append(' ').append(event.getDeclaringClass().getSimpleName()).append('.')
                .append(event.name()).append('=').append(count));
        log.accept(line.toString());
    }
}
