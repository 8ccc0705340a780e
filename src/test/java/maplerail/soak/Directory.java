package maplerail.soak;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Which engines there are, as discovery knows it: each change has a version of its own. */
final class Directory {
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    /** An engine as last listed, and in which version. */
    record Entry(long version, String json, String health, double changedMs) {
        boolean inService() {
            return health.equals("in_service");
        }
    }

    synchronized void list(EngineStandIn engine) {
        entries.put(engine.host, new Entry(++version, engine.listed(), engine.health, Ledger.nowMs()));
        notifyAll();
    }

    synchronized Map<String, Entry> entries() {
        return Map.copyOf(entries);
    }

    /** Waits until something is newer than a version, but not for longer than some time. */
    synchronized void await(long known, long mostMs) throws InterruptedException {
        long endNanos = System.nanoTime() + mostMs * 1_000_000;
        for (long left = mostMs; version <= known && left > 0; left = (endNanos - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
    }

    /** All entries that are newer than a version, each also handed to a listener. */
    synchronized String since(long known, Consumer<Map.Entry<String, Entry>> told) {
        StringBuilder hosts = new StringBuilder();
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            if (entry.getValue().version() <= known) continue;
            // Whole lists do not name engines that are gone.
            if (known < 0 && entry.getValue().health().equals("terminated")) continue;
            hosts.append(hosts.length() == 0 ? "" : ",").append(entry.getValue().json());
            told.accept(entry);
        }
        return "{\"seq\":" + version + ",\"whole\":" + (known < 0) + ",\"hosts\":[" + hosts + "]}";
    }
}
