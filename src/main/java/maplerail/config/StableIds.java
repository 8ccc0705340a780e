package maplerail.config;

import java.nio.charset.StandardCharsets;

/** Numeric IDs that are derived from names alone, so that all gateways agree on them. */
public final class StableIds {
    private StableIds() {}

    /**
     * Returns the ID of an engine: 48 bits, never 0. It does not depend on the engine's address, which may differ
     * between gateways.
     */
    public static long ofEngine(String name) {
        return Math.max(1, hash(name) & 0xffff_ffff_ffffL);
    }

    /**
     * Returns the ID of a session or of a shared prefix: the value of up to sixteen hex digits, or the hash of any
     * other text; 0 if there is none.
     */
    public static long ofKey(String text) {
        if (text == null || text.isEmpty()) return 0;
        if (text.length() <= 16 && text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            return Long.parseUnsignedLong(text, 16);
        }
        return hash(text);
    }

    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L; // FNV-1a, followed by a finalizer that spreads short names over all bits
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }
}
