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
 * Runs tasks after all input that had arrived when they were submitted has been passed to its listeners. The I/O thread
 * runs every task that is due before it polls its sockets again, so a timer cannot tell whether it has polled. A byte
 * in a pipe can: the poll that reports it also reports all input that arrived before it. All methods must be called on
 * the I/O thread.
 */
final class InputBarrier implements AutoCloseable {
    private final XnioIoThread thread;
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private final ByteBuffer markByte = ByteBuffer.allocate(1);
    /** Tasks submitted before the byte that is in the pipe was written. */
    private List<Runnable> markedTasks = new ArrayList<>();
    /** Tasks submitted since that byte was written. */
    private List<Runnable> waitingTasks = new ArrayList<>();

    /** Creates the barrier of an I/O thread. */
    InputBarrier(XnioIoThread thread) throws IOException {
        this.thread = thread;
        pipe = thread.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(source -> onMark());
        pipe.getLeftSide().resumeReads();
    }

    /** Runs a task once the input that has arrived by now has been handled. */
    void runAfterInput(Runnable task) {
        waitingTasks.add(task);
        if (markedTasks.isEmpty()) writeMark();
    }

    private void writeMark() {
        markedTasks = waitingTasks;
        waitingTasks = new ArrayList<>();
        markByte.clear();
        try {
            pipe.getRightSide().write(markByte);
        } catch (IOException e) {
            scheduleMarked(); // the pipe is closed, as the thread is stopping
        }
    }

    /** Submits each task to the thread separately, so that a task that fails does not keep the others from running. */
    private void scheduleMarked() {
        execute(this::startNextBatch);
        markedTasks.forEach(this::execute);
    }

    private void startNextBatch() {
        markedTasks = new ArrayList<>();
        if (!waitingTasks.isEmpty()) writeMark();
    }

    private void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            return; // the thread is stopping, so the task is dropped
        }
    }

    private void onMark() {
        markByte.clear();
        try {
            if (pipe.getLeftSide().read(markByte) <= 0) return;
        } catch (IOException e) {
            return; // reported again by the next poll
        }
        // The same poll may report other sockets before or after the pipe; submitted tasks run after all of them.
        scheduleMarked();
    }

    @Override
    public void close() {
        IoUtils.safeClose(pipe.getLeftSide(), pipe.getRightSide());
    }
}
