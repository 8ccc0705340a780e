package maplerail.policy;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** Rendezvous hashing: all nodes rank the engines for a key in the same order without communication. */
public final class Rendezvous {
    private Rendezvous() {}

    /** The rank of an engine for a key; the engine with the lowest rank owns the key. */
    public static long weight(long key, long engine) {
        return mix(key ^ mix(engine));
    }

    /**
     * The element with the lowest value, or null if there is none. The rank for the key decides between equals, so that
     * nodes do not all choose the same element.
     */
    public static <T> T min(Collection<T> candidates, ToDoubleFunction<T> value, ToLongFunction<T> id, long key) {
        T best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (T candidate : candidates) {
            double candidateValue = value.applyAsDouble(candidate);
            boolean ranksLower = candidateValue == lowest && best != null
                    && weight(key, id.applyAsLong(candidate)) < weight(key, id.applyAsLong(best));
            if (best == null || candidateValue < lowest || ranksLower) {
                best = candidate;
                lowest = candidateValue;
            }
        }
        return best;
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return (z ^ z >>> 31) >>> 1;
    }
}
