package maplerail.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * The deficit counters of D2LPM (deficit-based longest prefix match): a client may be sent to a reader while it has
 * credit there, and all of its counters grow together when it has credit nowhere. A counter is kept as the difference
 * between what the client was granted at every reader and what it has used at this one.
 */
public final class DeficitCounters {
    private static final double QUANTUM = 40_000; // tokens; what every counter of a client grows by

    /** Tokens granted to each client at every reader. */
    private final Map<Integer, Double> granted = new TreeMap<>();

    /** The counters of one reader. */
    public final class OfReader {
        /** Tokens that each client has used of those granted. */
        private final Map<Integer, Double> used = new TreeMap<>();

        private OfReader() {}

        /** Tokens that a client has left here; where it was not charged yet, as at a newcomer, a quantum at most. */
        public double credit(int client) {
            double all = granted(client);
            return all - used.getOrDefault(client, Math.max(0, all - QUANTUM));
        }

        /** Takes tokens from a client's credit, which may become negative. */
        public void charge(int client, double tokens) {
            used.put(client, granted(client) - credit(client) + tokens);
        }
    }

    /** The counters of a reader that no client has used yet. */
    public OfReader newReader() {
        return new OfReader();
    }

    /** Adds as many quanta to a client's counters as make the largest of them positive, none if it is already. */
    public void growIfSpent(int client, double largestCredit) {
        if (largestCredit <= 0)
            granted.merge(client, QUANTUM * (Math.floor(-largestCredit / QUANTUM) + 1), Double::sum);
    }

    private double granted(int client) {
        return granted.getOrDefault(client, 0.0);
    }
}
