package maplerail.support;

import java.io.IOException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An engine that can be paused and resumed like a process by SIGSTOP and SIGCONT. While it is stopped, the operating
 * system still accepts connections and bytes for it, but no request is handled or answered.
 */
public final class StoppableEngine implements AutoCloseable {
    private final StandIn server;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition resumed = lock.newCondition();
    private boolean stopped;

    /** Starts the engine, running. */
    public StoppableEngine(StandIn.Handler handler) throws IOException {
        server = new StandIn(exchange -> {
            awaitRunning();
            handler.handle(exchange);
        });
    }

    private void awaitRunning() throws InterruptedException {
        lock.lock();
        try {
            while (stopped) resumed.await();
        } finally {
            lock.unlock();
        }
    }

    /** Pauses the engine. */
    public void stop() {
        setStopped(true);
    }

    /** Resumes the engine. */
    public void resume() {
        setStopped(false);
    }

    private void setStopped(boolean stop) {
        lock.lock();
        try {
            stopped = stop;
            resumed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** The address in the form host:port, as in the list of engines. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
