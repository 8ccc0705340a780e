package maplerail.soak;

import java.util.ArrayDeque;
import java.util.Locale;

/**
 * Measures how late this process's own threads have been scheduled recently. Engines, network and ledger are threads of
 * one process: when the machine delays them, they may cause a breach, and the reader of a report must be able to tell.
 */
final class LagMeter {
    private static final int SLEEP_MS = 5;
    private static final double WINDOW_MS = 3_000;
    private static final double MIN_RECORDED_LAG_MS = 10;

    private record Lag(double atMs, double lagMs) {}

    private final ArrayDeque<Lag> lags = new ArrayDeque<>();
    private double worstMs;
    private volatile boolean closed;

    /** Starts the measuring thread. */
    LagMeter() {
        DaemonThreads.start("lag meter", () -> {
            while (!closed) {
                double beforeMs = Ledger.nowMs();
                Thread.sleep(SLEEP_MS);
                record(Ledger.nowMs() - beforeMs - SLEEP_MS);
            }
        });
    }

    private synchronized void record(double lagMs) {
        double now = Ledger.nowMs();
        worstMs = Math.max(worstMs, lagMs);
        if (lagMs >= MIN_RECORDED_LAG_MS) lags.addLast(new Lag(now, lagMs));
        while (!lags.isEmpty() && lags.peekFirst().atMs() < now - WINDOW_MS) lags.removeFirst();
    }

    /** The largest lag of the whole run, in milliseconds. */
    synchronized double worstMs() {
        return worstMs;
    }

    /** Describes the largest lag of the last seconds, for a report. */
    synchronized String describeRecent() {
        double recentMs = lags.stream().mapToDouble(Lag::lagMs).max().orElse(0);
        return String.format(Locale.ROOT, "own thread lag %.0f ms", recentMs);
    }

    void close() {
        closed = true;
    }
}
