package maplerail.front.platform;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import maplerail.core.ClientMemory;
import maplerail.core.EventLoop;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request. Reads a limited number of bytes at a time, so that other connections get their turn,
 * and counts what it holds. Once the request is rejected, it holds nothing and reads on slowly: closing the connection
 * with bytes unread would reset it, and the client might not see its answer.
 */
final class BodyReader implements ClientMemory.IncompleteRequest {
    private static final int SEGMENT_BYTES = 8 * 1024;
    private static final int SEGMENTS_PER_TURN = 8;
    private static final double DISCARD_INTERVAL_MS = 50; // between two turns of a rejected request
    /** Recycles segments: bodies that come and go quickly would otherwise keep the garbage collector busy. */
    private static final ByteBufferPool SEGMENTS = new DefaultByteBufferPool(false, SEGMENT_BYTES, 1_024, 0);

    /** Receives what becomes of a body. */
    interface Listener {
        /** The whole body has arrived. */
        void received(byte[] body);

        /** The first bytes have been read and the body is not complete. */
        void incomplete();

        /** Returns true if the framing of what has arrived is invalid. */
        boolean isMalformed();

        /** The framing of the body is invalid. */
        void malformed();

        /** The body is larger than allowed. */
        void tooLarge();

        /** The bytes of the body were let go, as memory is short. */
        void yielded();

        /** The connection has failed, or the body cannot be read. */
        void failed();
    }

    private enum State { READING, DISCARDING, DONE }

    private final EventLoop loop;
    private final ClientMemory memory;
    private final int maxBytes;
    private final Listener listener;
    private final StreamSourceChannel channel;
    private final List<PooledByteBuffer> segments = new ArrayList<>();
    private State state = State.READING;
    private int receivedBytes;
    private int countedSegments;
    private boolean turnScheduled;

    /**
     * Creates a reader that has not started.
     *
     * @param maxBytes the largest size of a body
     */
    BodyReader(HttpServerExchange exchange, EventLoop loop, ClientMemory memory, int maxBytes, Listener listener) {
        this.loop = loop;
        this.memory = memory;
        this.maxBytes = maxBytes;
        this.listener = listener;
        this.channel = exchange.getRequestChannel();
        channel.getReadSetter().set(source -> onReadable());
    }

    /** Starts to read. The exchange must have been dispatched. */
    void start() {
        readTurn();
        if (state == State.READING) listener.incomplete();
    }

    /** Lets go of the body and discards the rest of it: the request has been answered. */
    void reject() {
        if (state == State.DONE) return;
        free();
        state = State.DISCARDING;
        scheduleDiscard();
    }

    /** Lets go of the body: its exchange is complete, or its connection is closed. */
    void close() {
        free();
        state = State.DONE;
    }

    @Override
    public void yieldMemory() {
        listener.yielded();
    }

    private void onReadable() {
        if (state == State.READING) readTurn();
        else if (state == State.DISCARDING) scheduleDiscard();
        else channel.suspendReads();
    }

    private void readTurn() {
        try {
            for (int i = 0; i < SEGMENTS_PER_TURN && state == State.READING; i++) {
                int count = channel.read(freeSpace());
                if (count < 0) {
                    complete();
                } else if (count == 0) {
                    waitForInput();
                    if (listener.isMalformed()) listener.malformed();
                    return;
                } else {
                    onBytes(count);
                }
            }
        } catch (IOException e) {
            fail();
        }
        if (state != State.READING) return;
        if (listener.isMalformed()) listener.malformed();
        else scheduleRead();
    }

    /** Returns the free space of the last segment, after adding one if there is none. */
    private ByteBuffer freeSpace() {
        if (segments.isEmpty() || !segments.get(segments.size() - 1).getBuffer().hasRemaining()) {
            segments.add(SEGMENTS.allocate());
        }
        return segments.get(segments.size() - 1).getBuffer();
    }

    private void waitForInput() {
        PooledByteBuffer last = segments.get(segments.size() - 1);
        if (last.getBuffer().position() == 0) {
            last.close();
            segments.remove(segments.size() - 1);
        }
        channel.resumeReads();
    }

    private void onBytes(int count) {
        receivedBytes += count;
        if (receivedBytes > maxBytes) {
            listener.tooLarge();
            return;
        }
        int newSegments = segments.size() - countedSegments;
        countedSegments = segments.size();
        memory.addIncomplete(this, newSegments * SEGMENT_BYTES);
    }

    private void complete() {
        byte[] body = new byte[receivedBytes];
        int position = 0;
        for (PooledByteBuffer segment : segments) {
            ByteBuffer filled = segment.getBuffer().flip();
            int count = filled.remaining();
            filled.get(body, position, count);
            position += count;
        }
        close();
        listener.received(body);
    }

    private void fail() {
        close();
        listener.failed();
    }

    private void free() {
        memory.removeIncomplete(this);
        segments.forEach(PooledByteBuffer::close);
        segments.clear();
        countedSegments = 0;
    }

    private void scheduleRead() {
        channel.suspendReads();
        if (turnScheduled) return;
        turnScheduled = true;
        loop.runAfterInput(this::runTurn);
    }

    private void scheduleDiscard() {
        channel.suspendReads();
        if (turnScheduled) return;
        turnScheduled = true;
        loop.schedule(loop.nowMs() + DISCARD_INTERVAL_MS, this::runTurn);
    }

    private void runTurn() {
        turnScheduled = false;
        if (state == State.READING) readTurn();
        else if (state == State.DISCARDING) discardTurn();
    }

    private void discardTurn() {
        try (PooledByteBuffer buffer = SEGMENTS.allocate()) {
            for (int i = 0; i < SEGMENTS_PER_TURN; i++) {
                int count = channel.read(buffer.getBuffer().clear());
                if (count < 0) {
                    state = State.DONE;
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
            }
        } catch (IOException e) {
            fail();
            return;
        }
        scheduleDiscard();
    }
}
