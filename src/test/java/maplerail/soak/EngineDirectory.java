package maplerail.soak;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The engines that discovery knows. Each change gets its own version number. */
final class EngineDirectory {
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    /** An engine as last published, and the version in which it was. */
    record Entry(long version, String json, String health, double changedMs) {
        boolean inService() {
            return health.equals("in_service");
        }
    }

    synchronized void publish(EngineStandIn engine) {
        entries.put(engine.host, new Entry(++version, engine.toJson(), engine.health, Ledger.nowMs()));
        notifyAll();
    }

    synchronized Map<String, Entry> entries() {
        return Map.copyOf(entries);
    }

    /** Waits until an entry is newer than a version, at most for the given time. */
    synchronized void awaitNewerThan(long knownVersion, long maxWaitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + maxWaitMs * 1_000_000;
        for (long leftMs = maxWaitMs; version <= knownVersion
                && leftMs > 0; leftMs = (endNanos - System.nanoTime()) / 1_000_000) {
            wait(leftMs);
        }
    }

    /** Returns all entries newer than a version as JSON and passes each to a listener; -1 asks for a whole list. */
    synchronized String changesSince(long knownVersion, Consumer<Map.Entry<String, Entry>> listener) {
        StringBuilder hosts = new StringBuilder();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            if (entry.getValue().version() <= knownVersion) continue;
            // Whole lists omit terminated engines.
            if (knownVersion < 0 && entry.getValue().health().equals("terminated")) continue;
            hosts.append(hosts.length() == 0 ? "" : ",").append(entry.getValue().json());
            listener.accept(entry);
        }
        return "{\"seq\":" + version + ",\"whole\":" + (knownVersion < 0) + ",\"hosts\":[" + hosts + "]}";
    }
}
