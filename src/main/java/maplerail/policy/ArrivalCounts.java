package maplerail.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** How many of the arrivals of late had each key; counts fade, and the number of keys is bounded. */
public final class ArrivalCounts {
    private static final int MAX_KEYS = 20_000; // far above what lives

    private record Count(double arrivals, double atMs) {}

    private final double fadeMs;
    private final Map<Long, Count> counts = new LinkedHashMap<>();

    /** Makes counts that fade to a part of e in so long. */
    public ArrivalCounts(double fadeMs) {
        this.fadeMs = fadeMs;
    }

    /** Arrivals with a key within the fading time, about. */
    public double of(long key, double nowMs) {
        Count known = counts.get(key);
        return known == null ? 0 : known.arrivals() * Math.exp((known.atMs() - nowMs) / fadeMs);
    }

    /** One more. */
    public void add(long key, double nowMs) {
        double arrivals = of(key, nowMs) + 1;
        counts.remove(key);
        counts.put(key, new Count(arrivals, nowMs));
        if (counts.size() > MAX_KEYS) counts.remove(counts.keySet().iterator().next());
    }

    /** Keys that are counted. */
    public int size() {
        return counts.size();
    }
}
