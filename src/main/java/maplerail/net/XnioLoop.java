package maplerail.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import maplerail.core.Loop;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The broker's loop on an XNIO thread: everything that it owns runs there and needs no locks. */
public final class XnioLoop implements Loop, AutoCloseable {
    /** Between two looks at what has arrived: what a request or an answer may seem to be older than it is. */
    private static final double LOOK_MS = 50;
    /** Between two looks, from which this process may have stood still. */
    private static final double STANDSTILL_MS = 100;
    /** Looks in time after a standstill, until the thread that accepts connections has come to all that waited. */
    private static final int CATCH_UP_LOOKS = 2;

    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();
    private final double startMs = System.currentTimeMillis();
    private final InputBarrier barrier;
    private double inputArrivedAfterMs = startMs;
    private double connectionsArrivedAfterMs = startMs;
    private int looksInTime;

    /** Makes the loop of a thread. */
    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
        try {
            barrier = new InputBarrier(thread);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        execute(this::look);
    }

    /** The thread. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    private void look() {
        double lookMs = nowMs();
        looksInTime = lookMs - inputArrivedAfterMs > STANDSTILL_MS ? 0 : looksInTime + 1;
        barrier.pass(() -> {
            inputArrivedAfterMs = lookMs;
            if (looksInTime >= CATCH_UP_LOOKS) connectionsArrivedAfterMs = lookMs;
            schedule(nowMs() + LOOK_MS, this::look);
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
        long millis = (long) Math.ceil(Math.max(0, whenMs - nowMs())); // the thread cuts off parts of one
        try {
            XnioExecutor.Key key = thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
            return key::remove;
        } catch (RejectedExecutionException e) {
            return () -> {}; // the thread is stopping: nothing is to happen any more
        }
    }

    @Override
    public ScheduledTask runAfterInput(Runnable task) {
        CancellableTask one = new CancellableTask(task);
        barrier.pass(one);
        return one::cancel;
    }

    /** Runs a task soon, from any thread; not at all once the thread is stopping. */
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
