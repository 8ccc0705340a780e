package maplerail.policy;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** Rendezvous hashing: all nodes rank the engines for a key alike, without talking to each other. */
public final class Rendezvous {
    private Rendezvous() {}

    /** The rank of an engine for a key; the lowest is the key's home. */
    public static long weight(long key, long engine) {
        return mix(key ^ mix(engine));
    }

    /** The one of the lowest value; of equals, the home of the key, so that nodes don't herd. Null for none. */
    public static <T> T least(Collection<T> among, ToDoubleFunction<T> by, ToLongFunction<T> id, long key) {
        T best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (T one : among) {
            double value = by.applyAsDouble(one);
            boolean nearer = value == lowest && best != null
                    && weight(key, id.applyAsLong(one)) < weight(key, id.applyAsLong(best));
            if (best == null || value < lowest || nearer) {
                best = one;
                lowest = value;
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
