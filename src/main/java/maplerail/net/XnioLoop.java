package maplerail.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import maplerail.core.EventLoop;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop of the broker on an XNIO thread. Everything that it owns runs on that thread and needs no locks. */
public final class XnioLoop implements EventLoop, AutoCloseable {
    /** Interval of input checks, by which a request or a response may seem older than it is. */
    private static final double INPUT_CHECK_INTERVAL_MS = 50;
    /** Interval between two input checks above which this process may have been suspended. */
    private static final double STALL_THRESHOLD_MS = 100;
    /**
     * Number of timely input checks after a stall by which the thread that accepts connections has handled all that
     * were waiting.
     */
    private static final int CATCH_UP_CHECKS = 2;

    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();
    private final double startMs = System.currentTimeMillis();
    private final InputBarrier barrier;
    private double inputArrivedAfterMs = startMs;
    private double connectionsArrivedAfterMs = startMs;
    private int timelyChecks;

    /** Creates the loop of an I/O thread. */
    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
        try {
            barrier = new InputBarrier(thread);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        execute(this::checkInput);
    }

    /** Returns the I/O thread. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    private void checkInput() {
        double checkMs = nowMs();
        timelyChecks = checkMs - inputArrivedAfterMs > STALL_THRESHOLD_MS ? 0 : timelyChecks + 1;
        barrier.runAfterInput(() -> {
            inputArrivedAfterMs = checkMs;
            if (timelyChecks >= CATCH_UP_CHECKS) connectionsArrivedAfterMs = checkMs;
            schedule(nowMs() + INPUT_CHECK_INTERVAL_MS, this::checkInput);
        });
    }

    @Override
    public double inputArrivedAfterMs() {
        return inputArrivedAfterMs;
    }

    @Override
    public double connectionsArrivedAfterMs() {
        return connectionsArrivedAfterMs;
    }

    @Override
    public ScheduledTask schedule(double whenMs, Runnable task) {
        long millis = (long) Math.ceil(Math.max(0, whenMs - nowMs())); // the thread discards fractions of a millisecond
        try {
            XnioExecutor.Key key = thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
            return key::remove;
        } catch (RejectedExecutionException e) {
            return () -> {}; // the thread is stopping, so the task is dropped
        }
    }

    @Override
    public ScheduledTask runAfterInput(Runnable task) {
        CancellableTask cancellable = new CancellableTask(task);
        barrier.runAfterInput(cancellable);
        return cancellable::cancel;
    }

    /**
     * Runs a task on the loop as soon as possible; it is dropped once the thread is stopping. May be called from any
     * thread.
     */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    @Override
    public void close() {
        barrier.close();
    }

    private static final class CancellableTask implements Runnable {
        private Runnable task;

        CancellableTask(Runnable task) {
            this.task = task;
        }

        void cancel() {
            task = null;
        }

        @Override
        public void run() {
            if (task != null) task.run();
        }
    }
}
