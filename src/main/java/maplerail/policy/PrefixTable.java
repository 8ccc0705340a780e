package maplerail.policy;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Which engines were last seen to hold the beginning that a key names, and how much of it. Entries age out, and both the
 * keys and the holders of each are bounded: the oldest go first.
 *
 * @param <E> the engines, told apart by identity
 */
public final class PrefixTable<E> {
    private static final int MAX_KEYS = 20_000; // far above what lives
    private static final int MAX_HOLDERS = 8;

    private record Holder<E>(E engine, double tokens, double atMs) {}

    private final double entryAgeMs;
    private final Map<Long, ArrayDeque<Holder<E>>> holdersByKey = new LinkedHashMap<>();

    /** Makes a table whose entries are believed for so long. */
    public PrefixTable(double entryAgeMs) {
        this.entryAgeMs = entryAgeMs;
    }

    /** Tokens that an engine holds of a beginning; 0 if that is not known. Key 0 names none. */
    public double heldTokens(long key, E engine, double nowMs) {
        ArrayDeque<Holder<E>> holders = key == 0 ? null : holdersByKey.get(key);
        if (holders == null) return 0;
        for (Holder<E> holder : holders) {
            if (holder.engine() == engine && holder.atMs() > nowMs - entryAgeMs) return holder.tokens();
        }
        return 0;
    }

    /** An engine is about to hold so much of a beginning. */
    public void put(long key, E engine, double tokens, double nowMs) {
        if (key == 0 || !(tokens > 0)) return;
        ArrayDeque<Holder<E>> holders = Objects.requireNonNullElseGet(holdersByKey.remove(key), ArrayDeque::new);
        holdersByKey.put(key, holders);
        if (holdersByKey.size() > MAX_KEYS) holdersByKey.remove(holdersByKey.keySet().iterator().next());
        holders.removeIf(holder -> holder.engine() == engine || holder.atMs() <= nowMs - entryAgeMs);
        holders.addLast(new Holder<>(engine, tokens, nowMs));
        if (holders.size() > MAX_HOLDERS) holders.removeFirst();
    }

    /** An engine is no longer believed to hold a beginning. */
    public void drop(long key, E engine) {
        ArrayDeque<Holder<E>> holders = holdersByKey.get(key);
        if (holders != null) holders.removeIf(holder -> holder.engine() == engine);
    }

    /** Keys in the table. */
    public int size() {
        return holdersByKey.size();
    }
}
