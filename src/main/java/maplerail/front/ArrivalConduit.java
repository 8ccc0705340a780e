package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import maplerail.core.Loop;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notes of one client's connection what is read and since when it can have been there: a request's time runs from when it
 * was sent, not from when this program came to read it.
 */
final class ArrivalConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Loop loop;
    private final ArrivalLog arrivals;
    private final Runnable onBytes;
    /** When it was last known that nothing had come which was not read. */
    private double emptyMs;
    /** Since when all that comes is read as soon as the loop comes to it; infinite while it is not. */
    private double resumedMs = Double.POSITIVE_INFINITY;

    /** Makes one for a connection that had not been made by some time; tells each time that bytes were read. */
    ArrivalConduit(StreamSourceConduit from, Loop loop, ArrivalLog arrivals, double connectedSinceMs,
            Runnable onBytes) {
        super(from);
        this.loop = loop;
        this.arrivals = arrivals;
        this.emptyMs = connectedSinceMs;
        this.onBytes = onBytes;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        double beforeMs = loop.nowMs();
        int count = super.read(into);
        came(count, beforeMs);
        return count;
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        double beforeMs = loop.nowMs();
        long count = super.read(into, offset, length);
        came(count, beforeMs);
        return count;
    }

    private void came(long count, double beforeMs) {
        double sinceMs = loop.inputArrivedAfterMs();
        if (resumedMs <= sinceMs) emptyMs = Math.max(emptyMs, sinceMs);
        if (count == 0) emptyMs = beforeMs;
        if (count <= 0) return;
        arrivals.read(count, emptyMs);
        onBytes.run();
    }

    @Override
    public void resumeReads() {
        resumed();
        super.resumeReads();
    }

    @Override
    public void wakeupReads() {
        resumed();
        super.wakeupReads();
    }

    private void resumed() {
        if (resumedMs == Double.POSITIVE_INFINITY) resumedMs = loop.nowMs();
    }

    @Override
    public void suspendReads() {
        resumedMs = Double.POSITIVE_INFINITY;
        super.suspendReads();
    }
}
