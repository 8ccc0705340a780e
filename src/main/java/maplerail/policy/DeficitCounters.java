package maplerail.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * The deficit counters of D2LPM (deficit-based longest prefix match). A client's requests may be sent to a reader while
 * the client has credit there; when it has credit at no reader, all its counters grow together. A counter is stored as
 * the difference between the tokens granted to the client at every reader and those that it has used at this one.
 */
public final class DeficitCounters {
    private static final double QUANTUM_TOKENS = 40_000; // by which all counters of a client grow together

    /** Tokens granted to each client at every reader. */
    private final Map<Integer, Double> granted = new TreeMap<>();

    /** The counters of one reader. */
    public final class ReaderCounters {
        /** Tokens that each client has used. */
        private final Map<Integer, Double> used = new TreeMap<>();

        private ReaderCounters() {}

        /** A client's remaining tokens; at most a quantum where it was never charged, as at a new reader. */
        public double credit(int client) {
            double clientGrant = granted(client);
            return clientGrant - used.getOrDefault(client, Math.max(0, clientGrant - QUANTUM_TOKENS));
        }

        /** Takes tokens from a client's credit, which may become negative. */
        public void charge(int client, double tokens) {
            used.put(client, granted(client) - credit(client) + tokens);
        }
    }

    /** The counters of a reader that no client has used yet. */
    public ReaderCounters newReader() {
        return new ReaderCounters();
    }

    /** Adds as many quanta to a client's counters as make the largest of them positive; none if it already is. */
    public void replenishIfExhausted(int client, double largestCredit) {
        if (largestCredit <= 0)
            granted.merge(client, QUANTUM_TOKENS * (Math.floor(-largestCredit / QUANTUM_TOKENS) + 1), Double::sum);
    }

    private double granted(int client) {
        return granted.getOrDefault(client, 0.0);
    }
}
