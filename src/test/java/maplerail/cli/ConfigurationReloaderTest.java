package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ConfigurationReloaderTest {
    private final List<String> applied = new CopyOnWriteArrayList<>();
    private final AtomicInteger reads = new AtomicInteger();

    private ConfigurationReloader<String> reloader(int failures) {
        return new ConfigurationReloader<>(() -> {
            if (reads.incrementAndGet() <= failures) throw new IllegalStateException("cannot be read");
            return "read " + reads.get();
        }, applied::add);
    }

    @Test
    void aReadableFileIsAppliedOnce() throws Exception {
        reloader(0).reload();
        assertThat(applied).containsExactly("read 1");
    }

    @Test
    void anUnreadableFileIsRetried() throws Exception {
        reloader(3).reload();
        assertThat(applied).containsExactly("read 4");
    }

    @Test
    void aLaterSignalSupersedesOneThatStillRetries() throws Exception {
        ConfigurationReloader<String> reloader = reloader(2);
        Thread first = new Thread(() -> {
            try {
                reloader.reload();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        first.start();
        await("the first reload has tried to read", () -> reads.get() > 0);
        reloader.reload();
        first.join();
        assertThat(applied).hasSize(1);
    }
}
