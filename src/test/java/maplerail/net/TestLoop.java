package maplerail.net;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** An event loop on a real I/O thread for one test, shut down when the test ends. */
final class TestLoop implements AfterEachCallback {
    private static final int BUFFER_BYTES = 8_192;

    private final XnioWorker worker;
    private final XnioLoop loop;

    TestLoop() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new XnioLoop(worker.getIoThread());
    }

    XnioLoop loop() {
        return loop;
    }

    /** Returns a pool on the loop with a limit on its connections. */
    ConnectionPool pool(double connIdleMs, double connectTimeoutMs, int maxConnections) {
        return new ConnectionPool(loop, new DefaultByteBufferPool(true, BUFFER_BYTES), connIdleMs, connectTimeoutMs,
                maxConnections);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        worker.shutdownNow();
    }
}
