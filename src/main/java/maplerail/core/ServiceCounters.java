package maplerail.core;

import java.util.Comparator;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * How often each thing of a closed set happened: the constants of enums such as {@link RuleMonitor.Breach} or
 * {@link maplerail.Router.Outcome}. What has changed is told in one log line from time to time and at the end.
 */
public final class ServiceCounters {
    private static final double TELL_MS = 10_000;
    private static final Comparator<Enum<?>> BY_NAME = Comparator
            .comparing((Enum<?> what) -> what.getDeclaringClass().getSimpleName()).thenComparing(Enum::name);

    private final Loop loop;
    private final Consumer<String> log;
    private final TreeMap<Enum<?>, Long> counts = new TreeMap<>(BY_NAME);
    private double toldMs;
    private boolean changed;

    /** Makes counters at zero. */
    public ServiceCounters(Loop loop, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        toldMs = loop.nowMs();
    }

    /** One more. */
    public void count(Enum<?> what) {
        counts.merge(what, 1L, Long::sum);
        changed = true;
        if (loop.nowMs() - toldMs >= TELL_MS) logChanges();
    }

    /** How often it happened. */
    public long get(Enum<?> what) {
        return counts.getOrDefault(what, 0L);
    }

    /** Logs all counts, unless none has changed since the last time. */
    public void logChanges() {
        toldMs = loop.nowMs();
        if (!changed) return;
        changed = false;
        StringBuilder line = new StringBuilder(256).append("counts so far:");
        counts.forEach((what, count) -> line.append(' ').append(what.getDeclaringClass().getSimpleName()).append('.')
                .append(what.name()).append('=').append(count));
        log.accept(line.toString());
    }
}
