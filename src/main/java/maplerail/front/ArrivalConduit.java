package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import maplerail.core.EventLoop;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Records what is read from one client connection and the earliest time at which it can have arrived. A request's
 * deadline runs from when the request was sent, not from when the gateway reads it.
 */
final class ArrivalConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int DISCARDED_BYTES_PER_READ = 8 * 1024;
    /** Limit on what is read of a client that goes on sending behind its last answer. */
    private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

    private final EventLoop loop;
    private final ArrivalLog arrivals;
    private final Runnable onBytes;
    /** Sees all bytes that are read; may be null. */
    private InputTap tap;
    private boolean discarding;
    private int discardedBytes;
    /** The latest time at which every byte that had arrived is known to have been read. */
    private double lastEmptyMs;
    /**
     * Since when the loop reads whatever arrives as soon as it reaches this connection; infinite while reads are
     * suspended.
     */
    private double readingSinceMs = Double.POSITIVE_INFINITY;

    /**
     * Wraps a connection's source.
     *
     * @param connectedSinceMs the time before which the connection had not been made
     * @param onBytes runs each time that bytes were read
     */
    ArrivalConduit(StreamSourceConduit source, EventLoop loop, ArrivalLog arrivals, double connectedSinceMs,
            Runnable onBytes) {
        super(source);
        this.loop = loop;
        this.arrivals = arrivals;
        this.lastEmptyMs = connectedSinceMs;
        this.onBytes = onBytes;
    }

    /** Sets what sees all bytes that are read from now on; null for nothing. */
    void setTap(InputTap tap) {
        this.tap = tap;
    }

    /** Discards what arrives from now on: the server is told only of the end of the input. */
    void discardInput() {
        discarding = true;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        if (discarding) return discard();
        double beforeMs = loop.nowMs();
        int before = buffer.position();
        int count = super.read(buffer);
        onRead(count, beforeMs);
        return count > 0 && !isAccepted(buffer, before) ? 0 : count;
    }

    @Override
    public long read(ByteBuffer[] buffer, int offset, int length) throws IOException {
        if (discarding) return discard();
        double beforeMs = loop.nowMs();
        int[] before = Arrays.stream(buffer, offset, offset + length).mapToInt(ByteBuffer::position).toArray();
        long count = super.read(buffer, offset, length);
        onRead(count, beforeMs);
        boolean accepted = true;
        for (int i = 0; i < length && count > 0; i++) accepted &= isAccepted(buffer[offset + i], before[i]);
        return accepted ? count : 0;
    }

    private int discard() throws IOException {
        if (discardedBytes >= MAX_DISCARDED_BYTES) return -1;
        int count = super.read(ByteBuffer.allocate(DISCARDED_BYTES_PER_READ));
        discardedBytes += Math.max(count, 0);
        return Math.min(count, 0);
    }

    /** Shows the bytes that were just read to the tap, and takes them out of the buffer if it does not accept them. */
    private boolean isAccepted(ByteBuffer buffer, int before) {
        if (tap == null || tap.accept(buffer.duplicate().limit(buffer.position()).position(before))) return true;
        buffer.position(before);
        return false;
    }

    private void onRead(long count, double beforeMs) {
        double inputSinceMs = loop.inputArrivedAfterMs();
        if (readingSinceMs <= inputSinceMs) lastEmptyMs = Math.max(lastEmptyMs, inputSinceMs);
        if (count == 0) lastEmptyMs = beforeMs;
        if (count <= 0) return;
        arrivals.onRead(count, lastEmptyMs);
        onBytes.run();
    }

    @Override
    public void resumeReads() {
        markReading();
        super.resumeReads();
    }

    @Override
    public void wakeupReads() {
        markReading();
        super.wakeupReads();
    }

    private void markReading() {
        if (readingSinceMs == Double.POSITIVE_INFINITY) readingSinceMs = loop.nowMs();
    }

    @Override
    public void suspendReads() {
        readingSinceMs = Double.POSITIVE_INFINITY;
        super.suspendReads();
    }
}
