package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import maplerail.core.EventLoop;
import maplerail.policy.StreamProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One request on one connection. The request is written at most once, whatever happens to the connection. */
public final class Call {
    private static final Logger LOG = LoggerFactory.getLogger(Call.class);
    /**
     * Longest silence after the last byte of an incomplete head. It allows for a lost packet, which the operating
     * system retransmits after 200 ms or more.
     */
    private static final double MAX_HEAD_SILENCE_MS = 400;
    /** The same for the head of a stream, behind which no state is held: clients must be told within 5 s. */
    private static final double MAX_STREAM_HEAD_SILENCE_MS = StreamProgress.STALL_TIMEOUT_MS;
    /** Longest time from the first to the last byte of one element of the framing around chunks. */
    private static final double MAX_FRAMING_MS = 4_000;

    private final ConnectionPool pool;
    private final Supplier<ClientRequest> requestSupplier;
    /** Null once it has been written or the call is done. */
    private byte[] body;
    private final BooleanSupplier mayStart;
    private final ResponseHandler handler;
    private final ResponseParser parser;
    private final boolean urgent;
    /** Head and body of the request; null until there is a connection, and once they are no longer needed. */
    private ByteBuffer[] outgoing;
    /** Size of head and body; 0 until there is a connection to write them to. */
    private long requestBytes;
    private long writtenBytes;
    private PooledConnection connection;
    private Runnable cancelConnect;
    private EventLoop.ScheduledTask timeout;
    private boolean requiresNewConnection;
    /** True if the call did not start at once, so that it has to call {@link #mayStart} before its first byte. */
    private boolean delayed;
    private boolean reused;
    private boolean localFault;
    private double connectDeadlineMs;
    private final double startMs;
    private double connectedMs;
    private long receivedBytes;
    private double lastReceivedMs;
    /** The element of the framing that has been received in part, 0 if there is none, and since when. */
    private int framingElement;
    private double framingStartMs;
    private boolean anyWritten;
    private double writtenMs = Double.NaN;
    private boolean paused;
    private boolean reading;
    private boolean failurePending;
    private boolean done;
    /** What is wrong with the response, for the log; empty if nothing is known. */
    private String flaw = "";

    /**
     * Creates a call. Its head is requested right before it is written, so that times in it are current.
     *
     * @param mayStart called right before the first byte is written if the call did not start at once; false aborts the
     * call
     * @param urgent whether the call is queued ahead of others
     */
    Call(ConnectionPool pool, Supplier<ClientRequest> requestSupplier, byte[] body, BooleanSupplier mayStart,
            ResponseHandler handler, boolean urgent) {
        this.pool = pool;
        this.requestSupplier = requestSupplier;
        this.body = body;
        this.mayStart = mayStart;
        this.handler = handler;
        this.parser = new ResponseParser(handler);
        this.urgent = urgent;
        this.startMs = pool.loop().nowMs();
    }

    /**
     * Returns true if the call is queued ahead of others: it carries no client's request, but a protocol rule depends on it.
     */
    boolean urgent() {
        return urgent;
    }

    private static ByteBuffer encodeHead(ClientRequest request) {
        StringBuilder head = new StringBuilder(512).append(request.getMethod()).append(' ').append(request.getPath())
                .append(" HTTP/1.1\r\n");
        for (HeaderValues values : request.getRequestHeaders()) {
            for (String value : values) {
                head.append(values.getHeaderName()).append(": ").append(value).append("\r\n");
            }
        }
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns true if the head of a successful response has been received. */
    public boolean responseStarted() {
        return parser.headComplete() && parser.status() == StatusCodes.OK;
    }

    /**
     * Describes the progress for the log: what was written, on which kind of connection, and what has been received.
     */
    public String trace() {
        String progress = requestBytes == 0 ? "not written"
                : "written " + writtenBytes + " of " + requestBytes + " bytes";
        if (connection == null && requestBytes == 0) return progress + ", waiting for a connection";
        String connectionInfo = reused ? " on a reused connection" : " on a new connection";
        String response = receivedBytes == 0 ? ""
                : ", " + receivedBytes + " bytes, last " + Math.round(pool.loop().nowMs() - lastReceivedMs) + " ms ago"
                        + (paused ? ", paused" : "");
        return progress + connectionInfo + " after " + Math.round(connectedMs - startMs) + " ms, status "
                + parser.status() + response + (flaw.isEmpty() ? "" : ", " + flaw);
    }

    /** Records what is wrong with the response, for the log. */
    void recordFlaw(String description) {
        flaw = description;
    }

    /** Returns true while nothing has been written. */
    public boolean unsent() {
        return !anyWritten && !done;
    }

    /** Returns when the last byte of the request was written, NaN before that. */
    public double writtenMs() {
        return writtenMs;
    }

    /** Aborts the call; the handler is not notified any more. */
    public void abort() {
        if (done) return;
        parser.discardRest();
        finish();
        handler.closed();
    }

    /** Closes the idle connections to the peer of this call, for use when its own one has stopped responding. */
    public void closeIdleToPeer() {
        if (connection != null) pool.closeIdle(connection.address);
    }

    /** Stops reading the response, so that its sender is held back by flow control. */
    public void pause() {
        if (done || paused) return;
        paused = true;
        cancelTimeout();
        if (connection != null) connection.stream.getSourceChannel().suspendReads();
    }

    /** Resumes reading the response. */
    public void resume() {
        if (!paused) return;
        paused = false;
        framingStartMs = pool.loop().nowMs();
        pool.loop().execute(this::read);
    }

    /**
     * Called while the call has no connection, with the timer that ends the wait for one and the action that cancels
     * the connection attempt.
     */
    void awaitConnection(EventLoop.ScheduledTask timer, Runnable cancel) {
        cancelTimeout();
        delayed = true;
        timeout = timer;
        cancelConnect = cancel;
    }

    /**
     * Marks that the call does not start at once, so that it checks right before its first byte whether it may still
     * start.
     */
    void markDelayed() {
        delayed = true;
    }

    /**
     * Returns the deadline for establishing the connection: the proposed one, unless a local fault has occurred. A
     * further try after such a fault does not extend the deadline.
     */
    double connectDeadlineMs(double proposedMs) {
        if (!localFault) connectDeadlineMs = proposedMs;
        return connectDeadlineMs;
    }

    /** Records that a fault of this machine prevented the connection; the call is tried again. */
    void markLocalFault() {
        localFault = true;
    }

    /** Excludes idle connections from being used for this call. */
    void requireNewConnection() {
        requiresNewConnection = true;
    }

    boolean requiresNewConnection() {
        return requiresNewConnection;
    }

    boolean done() {
        return done;
    }

    /** Starts the call on a connection, unless it was delayed and may no longer start. */
    void attach(PooledConnection newConnection) {
        cancelTimeout();
        cancelConnect = null;
        if (delayed && !mayStart.getAsBoolean()) {
            abort();
            pool.putIdle(newConnection, ResponseHandler.DEFAULT_QUIET_MS);
            return;
        }
        connection = newConnection;
        connectedMs = pool.loop().nowMs();
        reused = newConnection.idleSinceMs > 0;
        outgoing = new ByteBuffer[] {encodeHead(requestSupplier.get()), ByteBuffer.wrap(body)};
        requestBytes = outgoing[0].remaining() + body.length;
        connection.stream.getSourceChannel().setReadListener(c -> read());
        connection.stream.getSinkChannel().setWriteListener(c -> write());
        connection.stream.getSourceChannel().resumeReads();
        write();
    }

    private void write() {
        if (done || failurePending) return;
        try {
            while (!fullyWritten()) {
                long count = connection.stream.getSinkChannel().write(outgoing);
                if (count == 0) {
                    connection.stream.getSinkChannel().resumeWrites();
                    return;
                }
                writtenBytes += count;
                anyWritten = true;
            }
            connection.stream.getSinkChannel().suspendWrites();
            writtenMs = pool.loop().nowMs();
            discardRequest();
        } catch (IOException e) {
            fail();
        }
    }

    private void read() {
        if (done || failurePending || paused || connection == null || reading) return;
        reading = true;
        try (PooledByteBuffer pooled = pool.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done && !paused) {
                buffer.clear();
                int count = connection.stream.getSourceChannel().read(buffer);
                if (count == 0) {
                    connection.stream.getSourceChannel().resumeReads();
                    watchUnfinished();
                    return;
                }
                if (count > 0) {
                    receivedBytes += count;
                    lastReceivedMs = pool.loop().nowMs();
                    parser.feed(buffer.flip());
                }
                if (done) return;
                if (count < 0 && !parser.endOfInput())
                    throw new IOException("connection closed before the response was complete");
                if (parser.done()) complete(count > 0 && !buffer.hasRemaining());
            }
        } catch (IOException e) {
            recordFlaw(e.getMessage());
            fail();
        } catch (RuntimeException e) {
            // A bug in this program: it ends this call and must be visible.
            LOG.warn("response could not be delivered", e);
            fail();
        } finally {
            reading = false;
        }
    }

    /**
     * Guards against a head that stops in the middle, and against framing around chunks that never ends, which nothing
     * else reports. A head whose bytes keep arriving, however slowly, has not stopped. What lies within the framing is
     * supervised by the caller.
     */
    private void watchUnfinished() {
        cancelTimeout();
        if (parser.unfinishedFraming() != framingElement) framingStartMs = lastReceivedMs;
        framingElement = parser.unfinishedFraming();
        if (parser.inHead()) failAfter(lastReceivedMs + maxHeadSilenceMs(), "silent within its head");
        else if (framingElement > 0) failAfter(framingStartMs + MAX_FRAMING_MS, "framing without end");
    }

    private double maxHeadSilenceMs() {
        return parser.status() == StatusCodes.OK ? MAX_STREAM_HEAD_SILENCE_MS : MAX_HEAD_SILENCE_MS;
    }

    /** Fails the call at a time unless something arrives before; input received by then is read first. */
    private void failAfter(double whenMs, String description) {
        XnioLoop loop = pool.loop();
        timeout = loop.schedule(whenMs, () -> timeout = loop.runAfterInput(() -> {
            recordFlaw(description);
            fail();
        }));
    }

    private void cancelTimeout() {
        if (timeout != null) timeout.cancel();
        timeout = null;
    }

    /**
     * Completes the response. A connection is not reused if it carried more bytes than the response, if the response
     * rules that out, or if the request was not written in full.
     *
     * @param noSurplus whether the last read ended with the response
     */
    private void complete(boolean noSurplus) {
        PooledConnection used = connection;
        boolean reusable = noSurplus && parser.keepAlive() && fullyWritten();
        if (reusable) connection = null;
        finish();
        if (reusable) pool.putIdle(used, handler.quietMs());
        handler.end();
        handler.closed();
    }

    /** Fails the call if it still has no connection at its connection timeout. */
    void failIfUnconnected() {
        if (connection == null) fail();
    }

    /**
     * Fails the call asynchronously, so that the handler is never notified before the call has been returned to its
     * caller.
     */
    void fail() {
        if (done || failurePending) return;
        failurePending = true;
        pool.loop().execute(() -> {
            if (done) return;
            finish();
            handler.failed(failure());
            handler.closed();
        });
    }

    private ResponseHandler.Failure failure() {
        if (fullyWritten()) return ResponseHandler.Failure.BROKEN;
        return localFault && requestBytes == 0 ? ResponseHandler.Failure.LOCAL_FAULT
                : ResponseHandler.Failure.NEVER_SENT;
    }

    /** Returns true once the last byte of the request has been written. */
    private boolean fullyWritten() {
        return requestBytes > 0 && writtenBytes == requestBytes;
    }

    /** Lets go of the request, which is written at most once; the call itself may be kept for its trace. */
    private void discardRequest() {
        outgoing = null;
        body = null;
    }

    private void finish() {
        done = true;
        discardRequest();
        cancelTimeout();
        if (cancelConnect != null) cancelConnect.run();
        if (connection != null) connection.abort();
    }
}
