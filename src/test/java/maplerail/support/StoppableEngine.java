package maplerail.support;

import java.io.IOException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An engine whose process can be stopped and continued, as by SIGSTOP: meanwhile the system goes on taking connections
 * and bytes for it, and nothing is handled or answered.
 */
public final class StoppableEngine implements AutoCloseable {
    private final StandIn server;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition continued = lock.newCondition();
    private boolean stopped;

    /** Starts an engine that runs. */
    public StoppableEngine(StandIn.Handler handler) throws IOException {
        server = new StandIn(exchange -> {
            awaitRunning();
            handler.handle(exchange);
        });
    }

    private void awaitRunning() throws InterruptedException {
        lock.lock();
        try {
            while (stopped) continued.await();
        } finally {
            lock.unlock();
        }
    }

    /** Stops the process. */
    public void stop() {
        set(true);
    }

    /** Lets the process go on. */
    public void goOn() {
        set(false);
    }

    private void set(boolean stop) {
        lock.lock();
        try {
            stopped = stop;
            continued.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Where it is, as in the list of engines. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
