package maplerail.soak;

import java.util.ArrayDeque;
import java.util.Locale;

/**
 * How late this process's own threads ran of late. Engines, network and ledger are threads of one process: when the
 * machine holds them up, a breach may be theirs, and whoever reads a report must be able to tell.
 */
final class LagMeter {
    private static final int STEP_MS = 5;
    private static final double REMEMBERED_MS = 3_000;
    private static final double WORTH_NOTING_MS = 10;

    private record Lag(double atMs, double lagMs) {}

    private final ArrayDeque<Lag> lags = new ArrayDeque<>();
    private double worstMs;
    private volatile boolean closed;

    /** Begins to measure. */
    LagMeter() {
        Daemon.start("lag meter", () -> {
            while (!closed) {
                double beforeMs = Ledger.nowMs();
                Thread.sleep(STEP_MS);
                note(Ledger.nowMs() - beforeMs - STEP_MS);
            }
        });
    }

    private synchronized void note(double lagMs) {
        double now = Ledger.nowMs();
        worstMs = Math.max(worstMs, lagMs);
        if (lagMs >= WORTH_NOTING_MS) lags.addLast(new Lag(now, lagMs));
        while (!lags.isEmpty() && lags.peekFirst().atMs() < now - REMEMBERED_MS) lags.removeFirst();
    }

    /** The worst of the whole run. */
    synchronized double worstMs() {
        return worstMs;
    }

    /** The worst of the last seconds, for a report. */
    synchronized String recent() {
        double recentMs = lags.stream().mapToDouble(Lag::lagMs).max().orElse(0);
        return String.format(Locale.ROOT, "own lag %.0f ms", recentMs);
    }

    void close() {
        closed = true;
    }
}
