package maplerail.policy;

/** Rendezvous hashing: all nodes rank the engines for a key alike, without talking to each other. */
public final class Rendezvous {
    private Rendezvous() {}

    /** The rank of an engine for a key; the lowest is the key's home. */
    public static long weight(long key, long engine) {
        return mix(key ^ mix(engine));
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return (z ^ z >>> 31) >>> 1;
    }
}
