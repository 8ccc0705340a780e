package maplerail.front.platform;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.function.Consumer;
import maplerail.core.EventLoop;
import maplerail.policy.ProtocolRules.ClientPresence;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads what a client sends while its request is in flight, to notice when it leaves. The server reads nothing between a
 * request and its answer, and a close shows only behind everything that was sent. This reads the raw source, as the
 * channel of the HTTP framing also reports an end of input at the end of the body.
 */
final class ClientInput {
    /** How it was detected that a client has left. */
    enum Left {
        END_OF_INPUT, READ_FAILED, WRITE_FAILED
    }

    /** Bytes that are read and not kept before other connections get their turn. */
    private static final int DROPPED_BYTES_PER_TURN = 64 * 1024;
    private static final double DROPPED_READ_INTERVAL_MS = 2; // between such turns

    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final PipelinedRequests pipelined;
    private final EventLoop loop;
    private final Consumer<Left> onLeft;
    private boolean stopped;
    /** Whether the last read found nothing more. */
    private boolean allRead;
    /** Before this time nothing is read that is not kept. */
    private double nextDroppedReadMs;

    /**
     * Creates a reader that has not started.
     *
     * @param pipelined receives what was read
     * @param onLeft called when the client is found to have left
     */
    ClientInput(HttpServerConnection connection, PipelinedRequests pipelined, EventLoop loop, Consumer<Left> onLeft) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.pipelined = pipelined;
        this.loop = loop;
        this.onLeft = onLeft;
    }

    /** Reads now, and from now on whenever something arrives, until it is stopped. */
    ClientPresence watch() {
        connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable());
        ClientPresence presence = presence();
        if (!stopped) source.resumeReads();
        return presence;
    }

    /** Reads now and returns whether the client is connected. */
    ClientPresence presence() {
        if (!stopped) read();
        if (stopped) return ClientPresence.DISCONNECTED;
        return allRead ? ClientPresence.CONNECTED : ClientPresence.UNKNOWN;
    }

    /** Stops reading: further bytes belong to the next request, which the server reads. */
    void stop() {
        stopped = true;
    }

    private void onReadable() {
        if (!stopped) read();
        if (stopped) {
            source.suspendReads();
        } else if (pipelined.isDropping()) {
            source.suspendReads();
            loop.schedule(loop.nowMs() + DROPPED_READ_INTERVAL_MS, () -> {
                if (!stopped) source.resumeReads();
            });
        }
    }

    /** Reads all that the client has sent, or what one turn allows once it is not kept. */
    private void read() {
        if (pipelined.isDropping() && !allRead && loop.nowMs() < nextDroppedReadMs) return;
        try (PooledByteBuffer received = connection.getByteBufferPool().allocate()) {
            int droppedBytes = 0;
            while (!stopped && droppedBytes < DROPPED_BYTES_PER_TURN) {
                int count = source.read(received.getBuffer().clear());
                if (count < 0) onLeft.accept(Left.END_OF_INPUT);
                allRead = count <= 0;
                if (allRead) return;
                if (pipelined.isDropping()) droppedBytes += count;
                pipelined.add(received.getBuffer().flip());
            }
        } catch (IOException e) {
            onLeft.accept(Left.READ_FAILED);
        }
        nextDroppedReadMs = loop.nowMs() + DROPPED_READ_INTERVAL_MS;
    }
}
