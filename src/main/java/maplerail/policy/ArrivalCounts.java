package maplerail.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts of recent arrivals by key. Counts fade exponentially, and the number of keys is bounded. */
public final class ArrivalCounts {
    private static final int MAX_KEYS = 20_000; // far above the number of keys in use at a time

    private record Count(double arrivals, double atMs) {}

    private final double fadeMs;
    private final Map<Long, Count> counts = new LinkedHashMap<>();

    /** Creates counts that fade to 1/e within {@code fadeMs}. */
    public ArrivalCounts(double fadeMs) {
        this.fadeMs = fadeMs;
    }

    /** Approximate number of arrivals with a key within the fading time. */
    public double count(long key, double nowMs) {
        Count count = counts.get(key);
        return count == null ? 0 : count.arrivals() * Math.exp((count.atMs() - nowMs) / fadeMs);
    }

    /** Counts an arrival. */
    public void add(long key, double nowMs) {
        double arrivals = count(key, nowMs) + 1;
        counts.remove(key);
        counts.put(key, new Count(arrivals, nowMs));
        if (counts.size() > MAX_KEYS) counts.remove(counts.keySet().iterator().next());
    }

    /** Number of keys. */
    public int size() {
        return counts.size();
    }
}
