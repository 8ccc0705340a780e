package maplerail.policy;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Records which engines hold a prefix, and how many tokens of it. Entries expire, and both the keys and the holders of
 * each key are bounded: the oldest are dropped first.
 *
 * @param <E> type of the engines, which are compared by identity
 */
public final class PrefixTable<E> {
    private static final int MAX_KEYS = 20_000; // far above the number of keys in use at a time
    private static final int MAX_HOLDERS = 8;

    private record Holder<E>(E engine, double tokens, double atMs) {}

    private final double ttlMs;
    private final Map<Long, ArrayDeque<Holder<E>>> holdersByKey = new LinkedHashMap<>();

    /** Creates a table whose entries expire after {@code ttlMs}. */
    public PrefixTable(double ttlMs) {
        this.ttlMs = ttlMs;
    }

    /** Tokens that an engine holds of a prefix, 0 if unknown. Key 0 means no prefix. */
    public double heldTokens(long key, E engine, double nowMs) {
        ArrayDeque<Holder<E>> holders = key == 0 ? null : holdersByKey.get(key);
        if (holders == null) return 0;
        for (Holder<E> holder : holders) {
            if (holder.engine() == engine && holder.atMs() > nowMs - ttlMs) return holder.tokens();
        }
        return 0;
    }

    /** Records that an engine is about to hold tokens of a prefix. */
    public void put(long key, E engine, double tokens, double nowMs) {
        if (key == 0 || !(tokens > 0)) return;
        ArrayDeque<Holder<E>> holders = Objects.requireNonNullElseGet(holdersByKey.remove(key), ArrayDeque::new);
        holdersByKey.put(key, holders);
        if (holdersByKey.size() > MAX_KEYS) holdersByKey.remove(holdersByKey.keySet().iterator().next());
        holders.removeIf(holder -> holder.engine() == engine || holder.atMs() <= nowMs - ttlMs);
        holders.addLast(new Holder<>(engine, tokens, nowMs));
        if (holders.size() > MAX_HOLDERS) holders.removeFirst();
    }

    /** Drops the entry of an engine for a prefix. */
    public void drop(long key, E engine) {
        ArrayDeque<Holder<E>> holders = holdersByKey.get(key);
        if (holders != null) holders.removeIf(holder -> holder.engine() == engine);
    }

    /** Number of keys. */
    public int size() {
        return holdersByKey.size();
    }
}
