package maplerail.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs tasks once all input that had arrived when they were given has been handed to its listeners. The thread runs all
 * tasks that are due before it looks at its sockets again, so no timer can tell that it has looked. A byte in a pipe can:
 * the round in which it is seen has seen all that was there before it. All calls are made on the thread.
 */
final class InputBarrier implements AutoCloseable {
    private final XnioIoThread thread;
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private final ByteBuffer mark = ByteBuffer.allocate(1);
    /** Tasks given before the byte that is in the pipe, and tasks given since. */
    private List<Runnable> marked = new ArrayList<>();
    private List<Runnable> waiting = new ArrayList<>();

    /** Makes the barrier of a thread. */
    InputBarrier(XnioIoThread thread) throws IOException {
        this.thread = thread;
        pipe = thread.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(source -> seen());
        pipe.getLeftSide().resumeReads();
    }

    /** Runs a task after what has arrived by now has been handed on. */
    void pass(Runnable task) {
        waiting.add(task);
        if (marked.isEmpty()) mark();
    }

    private void mark() {
        marked = waiting;
        waiting = new ArrayList<>();
        mark.clear();
        try {
            pipe.getRightSide().write(mark);
        } catch (IOException e) {
            finishSoon(); // the pipe is closed, as the thread is stopping
        }
    }

    /** Each task is given to the thread by itself, so that one which fails keeps none of the others from running. */
    private void finishSoon() {
        execute(this::nextMark);
        marked.forEach(this::execute);
    }

    private void nextMark() {
        marked = new ArrayList<>();
        if (!waiting.isEmpty()) mark();
    }

    private void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            return; // the thread is stopping: nothing is to happen any more
        }
    }

    private void seen() {
        mark.clear();
        try {
            if (pipe.getLeftSide().read(mark) <= 0) return;
        } catch (IOException e) {
            return; // seen again in the next round
        }
        // The sockets of this round come before or after the pipe; tasks come after all of them.
        finishSoon();
    }

    @Override
    public void close() {
        IoUtils.safeClose(pipe.getLeftSide(), pipe.getRightSide());
    }
}
