package maplerail.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** An open connection of a {@link ConnectionPool}, used by at most one call at a time. */
final class PooledConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PooledConnection.class);

    final InetSocketAddress address;
    final StreamConnection stream;
    double idleSinceMs;
    /** When the connection may be used again unless a byte arrives before. */
    private double reusableFromMs;

    PooledConnection(InetSocketAddress address, StreamConnection stream) {
        this.address = address;
        this.stream = stream;
    }

    boolean isOpen() {
        return stream.isOpen();
    }

    /** Closes the connection at once, without waiting for the peer. */
    void close() {
        IoUtils.safeClose(stream);
    }

    /**
     * Aborts the connection and discards data that has not been delivered. Guards against late arrival of an abandoned
     * request: after an orderly close the operating system continues sending what it has buffered, so a request that has
     * been sent elsewhere in the meantime would arrive a second time.
     */
    void abort() {
        try {
            stream.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            LOG.debug("cannot set a connection to abort on close", e); // the connection is already closed
        }
        close();
    }

    /**
     * Marks the connection as idle and closes it if the peer closes it or sends bytes that belong to no call.
     *
     * @param quietMs for how long it must be quiet before it is used again
     */
    void markIdle(double nowMs, double quietMs) {
        idleSinceMs = nowMs;
        reusableFromMs = nowMs + quietMs;
        stream.getSinkChannel().suspendWrites();
        stream.getSourceChannel().setReadListener(c -> checkQuiet());
        stream.getSourceChannel().resumeReads();
    }

    /** Returns true if a surplus response to the last call would have arrived by now. */
    boolean hasSettled(double nowMs) {
        return nowMs >= reusableFromMs;
    }

    /** Returns true if no unexpected input has arrived; otherwise the connection is closed. */
    boolean checkQuiet() {
        if (!isOpen()) return false;
        try {
            if (stream.getSourceChannel().read(ByteBuffer.allocate(1)) == 0) return true;
        } catch (IOException e) {
            close();
            return false;
        }
        close();
        return false;
    }
}
