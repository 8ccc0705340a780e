package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ConfigurationReloaderTest {
    private final List<String> used = new CopyOnWriteArrayList<>();
    private final AtomicInteger reads = new AtomicInteger();

    private ConfigurationReloader<String> reloader(int failing) {
        return new ConfigurationReloader<>(() -> {
            if (reads.incrementAndGet() <= failing) throw new IllegalStateException("cannot be read");
            return "read " + reads.get();
        }, used::add);
    }

    @Test
    void aFileThatCanBeReadIsUsedOnce() throws Exception {
        reloader(0).reload();
        assertThat(used).containsExactly("read 1");
    }

    @Test
    void aFileThatCannotBeReadAtFirstIsReadAgain() throws Exception {
        reloader(3).reload();
        assertThat(used).containsExactly("read 4");
    }

    @Test
    void aLaterSignalTakesThePlaceOfOneThatStillTries() throws Exception {
        ConfigurationReloader<String> reloader = reloader(2);
        Thread first = new Thread(() -> {
            try {
                reloader.reload();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        first.start();
        await("the first has tried", () -> reads.get() > 0);
        reloader.reload();
        first.join();
        assertThat(used).hasSize(1);
    }
}
