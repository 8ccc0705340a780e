package maplerail.cli;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a configuration again after a signal. A file that cannot be read then, as it is being replaced or as the
 * system's reads fail for a moment, is tried again for a while: the address that it would tell of may be the only one
 * that answers soon. What was read before stays until then, and a later signal takes the place of an earlier one.
 */
final class ConfigurationReloader<T> {
    /** From the signal: a new discovery counts as told 4 s after it. */
    static final long TRY_FOR_MS = 3_500;
    static final long PAUSE_MS = 100;
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReloader.class);

    private final Supplier<T> reading;
    private final Consumer<T> use;
    private long signals;

    /** Makes a reloader; {@code reading} throws a runtime exception while there is nothing to read. */
    ConfigurationReloader(Supplier<T> reading, Consumer<T> use) {
        this.reading = reading;
        this.use = use;
    }

    /** Reads and uses the configuration on a thread of its own. */
    void start() {
        Thread thread = new Thread(() -> {
            try {
                reload();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "configuration");
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads and uses the configuration, or tells why not; waits where it has to. */
    synchronized void reload() throws InterruptedException {
        long signal = ++signals;
        String told = "";
        for (long triedMs = 0; triedMs <= TRY_FOR_MS; triedMs += PAUSE_MS) {
            try {
                T news = reading.get();
                use.accept(news);
                return;
            } catch (RuntimeException e) {
                String why = String.valueOf(e.getMessage());
                if (!why.equals(told)) LOG.warn("the new configuration is not used: {}", why);
                told = why;
            }
            wait(PAUSE_MS); // lets a later signal in
            if (signal != signals) return;
        }
        LOG.warn("the new configuration is given up; the one before stays");
    }
}
