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

    /** So many bytes at once are looked at before more are read: the server would take long to reject noise. */
    private static final int CHECKED_BYTES = 32 * 1024;
    private static final double DROPPED_READ_RETRY_MS = 5; // for a connection that waits for a turn

    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final PipelinedRequests pipelined;
    private final DroppedReadPacer pacer;
    private final EventLoop loop;
    private final Consumer<Left> onLeft;
    private boolean stopped;
    /** Whether the last read found nothing more. */
    private boolean allRead;

    /**
     * Creates a reader that has not started.
     *
     * @param pipelined receives what was read
     * @param pacer spaces the reads of what is not kept
     * @param onLeft called when the client is found to have left
     */
    ClientInput(HttpServerConnection connection, PipelinedRequests pipelined, DroppedReadPacer pacer, EventLoop loop,
            Consumer<Left> onLeft) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.pipelined = pipelined;
        this.pacer = pacer;
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
            loop.schedule(loop.nowMs() + DROPPED_READ_RETRY_MS, () -> {
                if (!stopped) source.resumeReads();
            });
        }
    }

    /** Reads all that the client has sent, or what one turn allows once it is not kept. */
    private void read() {
        allRead = false;
        if (pipelined.isDropping() && !pacer.tryTurn(loop.nowMs())) return;
        try (PooledByteBuffer received = connection.getByteBufferPool().allocate()) {
            int keptBytes = 0;
            int droppedBytes = 0;
            while (!stopped && droppedBytes < DroppedReadPacer.BYTES_PER_TURN) {
                int count = source.read(received.getBuffer().clear());
                if (count < 0) onLeft.accept(Left.END_OF_INPUT);
                allRead = count <= 0;
                if (allRead) return;
                if (pipelined.isDropping()) droppedBytes += count;
                else keptBytes += count;
                pipelined.add(received.getBuffer().flip());
                if (keptBytes >= CHECKED_BYTES && keptBytes - count < CHECKED_BYTES) pipelined.dropIfUnreadable();
            }
        } catch (IOException e) {
            onLeft.accept(Left.READ_FAILED);
        }
    }
}
