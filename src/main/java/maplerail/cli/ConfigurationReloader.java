package maplerail.cli;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads a configuration after a signal. A file that cannot be read, because it is being replaced or because reads
 * fail for a moment, is retried for a while: the address in it may soon be the only one that answers. The previous
 * configuration stays in use until then, and a later signal supersedes an earlier one.
 */
final class ConfigurationReloader<T> {
    /** Counted from the signal. A gateway is expected to know a new discovery address 4 s after the signal. */
    static final long RETRY_FOR_MS = 3_500;
    static final long RETRY_INTERVAL_MS = 100;
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReloader.class);

    private final Supplier<T> reader;
    private final Consumer<T> consumer;
    private long lastSignal;

    /**
     * Creates a reloader.
     *
     * @param reader reads the configuration; throws a runtime exception if it cannot be used
     * @param consumer takes each configuration that was read
     */
    ConfigurationReloader(Supplier<T> reader, Consumer<T> consumer) {
        this.reader = reader;
        this.consumer = consumer;
    }

    /** Reloads the configuration on a new thread. */
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

    /** Reloads the configuration, or logs why it cannot; blocks between retries. */
    synchronized void reload() throws InterruptedException {
        long signal = ++lastSignal;
        String lastError = "";
        for (long elapsedMs = 0; elapsedMs <= RETRY_FOR_MS; elapsedMs += RETRY_INTERVAL_MS) {
            try {
                T configuration = reader.get();
                consumer.accept(configuration);
                return;
            } catch (RuntimeException e) {
                String error = String.valueOf(e.getMessage());
                if (!error.equals(lastError)) LOG.warn("the new configuration is not used: {}", error);
                lastError = error;
            }
            wait(RETRY_INTERVAL_MS); // releases the monitor, so that a later signal can take over
            if (signal != lastSignal) return;
        }
        LOG.warn("giving up on the new configuration; the previous one stays in use");
    }
}
