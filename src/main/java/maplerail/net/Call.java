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
import maplerail.core.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One request on one connection. It is written once and never again, whatever happens to the connection. */
public final class Call {
    private static final Logger LOG = LoggerFactory.getLogger(Call.class);
    /** After the last byte of a head that is not whole: a system sends a lost packet again after 200 ms or more. */
    private static final double HEAD_SILENCE_MS = 400;

    private final ConnectionPool pool;
    private final Supplier<ClientRequest> request;
    private final byte[] body;
    private final BooleanSupplier mayBegin;
    private final ResponseHandler reply;
    private final ResponseParser reader;
    private final boolean urgent;
    /** Head and body; null until there is a connection to write them to. */
    private ByteBuffer bytes;
    private PooledConnection link;
    private Runnable disconnect;
    private Loop.ScheduledTask limit;
    private boolean needsNewConnection;
    private boolean waited;
    private boolean reused;
    private boolean faultedHere;
    private double connectUntilMs;
    private final double startMs;
    private double connectedMs;
    private long receivedBytes;
    private double receivedMs;
    private boolean wrote;
    private boolean paused;
    private boolean reading;
    private boolean failing;
    private boolean done;

    /** Makes a call whose head is asked for when it is about to be written: what it tells of time must hold then. */
    Call(ConnectionPool pool, Supplier<ClientRequest> request, byte[] body, BooleanSupplier mayBegin,
            ResponseHandler reply,
            boolean urgent) {
        this.pool = pool;
        this.request = request;
        this.body = body;
        this.mayBegin = mayBegin;
        this.reply = reply;
        this.reader = new ResponseParser(reply);
        this.urgent = urgent;
        this.startMs = pool.loop().nowMs();
    }

    /** True if it goes before others, as it carries no client's request but keeps a rule. */
    boolean urgent() {
        return urgent;
    }

    private static ByteBuffer bytes(ClientRequest request, byte[] body) {
        StringBuilder head = new StringBuilder(512).append(request.getMethod()).append(' ').append(request.getPath())
                .append(" HTTP/1.1\r\n");
        for (HeaderValues values : request.getRequestHeaders()) {
            for (String value : values) {
                head.append(values.getHeaderName()).append(": ").append(value).append("\r\n");
            }
        }
        byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(first.length + body.length).put(first).put(body).flip();
    }

    /** True if the head of a successful answer has come. */
    public boolean answerBegun() {
        return reader.headWhole() && reader.status() == StatusCodes.OK;
    }

    /** When the last bytes of its answer came; 0 before any. */
    double receivedMs() {
        return receivedMs;
    }

    /** How far it has come, for the log: what was written, on which connection, and what has come back. */
    public String trace() {
        String written = bytes == null ? "not written" : "written " + bytes.position() + " of " + bytes.limit();
        if (link == null && bytes == null) return written + ", waits for a connection";
        String came = reused ? " on a kept connection" : " on a new connection";
        String answer = receivedBytes == 0 ? ""
                : ", " + receivedBytes + " bytes, last " + Math.round(pool.loop().nowMs() - receivedMs) + " ms ago"
                        + (paused ? ", paused" : "");
        return written + came + " after " + Math.round(connectedMs - startMs) + " ms, status " + reader.status()
                + answer;
    }

    /** True while nothing has been written. */
    public boolean unsent() {
        return !wrote && !done;
    }

    /** Gives the call up; the reply hears nothing more. */
    public void abort() {
        if (done) return;
        reader.stop();
        finish();
    }

    /** Stops reading the answer, so that its sender has to wait. */
    public void pause() {
        if (done || paused) return;
        paused = true;
        calm();
        if (link != null) link.connection.getSourceChannel().suspendReads();
    }

    /** Reads on. */
    public void resume() {
        if (!paused) return;
        paused = false;
        pool.loop().execute(this::read);
    }

    /** While it has no connection: when to give up waiting for one, and how. */
    void connecting(Loop.ScheduledTask alarm, Runnable cancel) {
        calm();
        waited = true;
        limit = alarm;
        disconnect = cancel;
    }

    /** It does not begin at once, and so asks before its first byte whether it may still. */
    void hasToAsk() {
        waited = true;
    }

    /** Until when its connection has to come up: as told, but a further try does not put it off. */
    double connectUntilMs(double atMost) {
        if (!faultedHere) connectUntilMs = atMost;
        return connectUntilMs;
    }

    /** A fault of this machine kept it from connecting; it is to be tried again. */
    void faultedHere() {
        faultedHere = true;
    }

    /** No kept connection is to be used for it. */
    void needsNewConnection() {
        needsNewConnection = true;
    }

    boolean wantsNewConnection() {
        return needsNewConnection;
    }

    boolean done() {
        return done;
    }

    void on(PooledConnection to) {
        calm();
        disconnect = null;
        if (waited && !mayBegin.getAsBoolean()) {
            abort();
            pool.keep(to);
            return;
        }
        link = to;
        connectedMs = pool.loop().nowMs();
        reused = to.idleSinceMs > 0;
        bytes = bytes(request.get(), body);
        link.connection.getSourceChannel().setReadListener(c -> read());
        link.connection.getSinkChannel().setWriteListener(c -> write());
        link.connection.getSourceChannel().resumeReads();
        write();
    }

    private void write() {
        if (done || failing) return;
        try {
            while (bytes.hasRemaining()) {
                if (link.connection.getSinkChannel().write(bytes) == 0) {
                    link.connection.getSinkChannel().resumeWrites();
                    return;
                }
                wrote = true;
            }
            link.connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            fail();
        }
    }

    private void read() {
        if (done || failing || paused || link == null || reading) return;
        reading = true;
        try (PooledByteBuffer pooled = pool.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done && !paused) {
                buffer.clear();
                int count = link.connection.getSourceChannel().read(buffer);
                if (count == 0) {
                    link.connection.getSourceChannel().resumeReads();
                    watchHead();
                    return;
                }
                if (count > 0) {
                    receivedBytes += count;
                    receivedMs = pool.loop().nowMs();
                    reader.feed(buffer.flip());
                }
                if (done) return;
                if (count < 0 && !reader.ended()) throw new IOException("the connection ended within the answer");
                if (reader.done()) end(count > 0 && !buffer.hasRemaining());
            }
        } catch (IOException e) {
            LOG.debug("an answer broke off or cannot be read", e);
            fail();
        } catch (RuntimeException e) {
            LOG.warn("an answer could not be passed on", e); // a fault of ours: it costs this call and must be seen
            fail();
        } finally {
            reading = false;
        }
    }

    /**
     * Guards against a head that stops in its middle: neither its sender nor it says so. However slowly its bytes come, it
     * has not stopped; and what follows the head is watched by who waits for it.
     */
    private void watchHead() {
        calm();
        if (!reader.inHead()) return;
        // What has come by then is read first.
        XnioLoop loop = pool.loop();
        limit = loop.schedule(receivedMs + HEAD_SILENCE_MS, () -> limit = loop.runAfterInput(this::fail));
    }

    private void calm() {
        if (limit != null) limit.cancel();
        limit = null;
    }

    /** The answer is whole; a connection on which more came, or not all was written, is of no further use. */
    private void end(boolean clean) {
        PooledConnection used = link;
        boolean again = clean && reader.keepAlive() && written();
        if (again) link = null;
        finish();
        if (again) pool.keep(used);
        reply.end();
    }

    /** It has waited for a connection for as long as it may. */
    void failUnconnected() {
        if (link == null) fail();
    }

    /** Never heard before the call has been handed out. */
    void fail() {
        if (done || failing) return;
        failing = true;
        pool.loop().execute(() -> {
            if (done) return;
            finish();
            reply.failed(failure());
        });
    }

    private ResponseHandler.Failure failure() {
        if (written()) return ResponseHandler.Failure.BROKEN;
        return faultedHere && bytes == null ? ResponseHandler.Failure.LOCAL_FAULT : ResponseHandler.Failure.NEVER_SENT;
    }

    /** True once the last byte has been written. */
    private boolean written() {
        return bytes != null && !bytes.hasRemaining();
    }

    private void finish() {
        done = true;
        calm();
        if (disconnect != null) disconnect.run();
        if (link != null) link.abort();
    }
}
