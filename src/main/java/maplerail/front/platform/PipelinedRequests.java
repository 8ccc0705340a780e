package maplerail.front.platform;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.regex.Pattern;
import maplerail.core.ClientMemory;
import maplerail.core.ClientMemory.Kind;

/**
 * What one client has sent after the request that is being answered (HTTP pipelining). The HTTP server later reads it as
 * the next requests. Beyond a limit requests are not kept but only counted, and each is refused in its turn: a connection
 * is always read on, as the close by its client shows only behind everything that the client has sent.
 */
final class PipelinedRequests {
    /** Limit for each connection: twice the size of the largest request with its head. */
    private static final int MAX_BYTES = 2 * (PlatformFront.MAX_BODY_BYTES + 16 * 1024);
    private static final int MAX_BYTES_WHEN_SHORT = 16 * 1024; // while memory is short
    /** What the server reads in place of a request that was not kept. */
    private static final byte[] PLACEHOLDER = "GET /-/not-kept HTTP/1.1\r\nHost: gateway\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    private static final Pattern ID_HEADER = Pattern.compile("\\nReq-Id: ?([0-9A-Za-z._~-]{1,128})\\r?\\n",
            Pattern.CASE_INSENSITIVE);
    private static final int MAX_LOGGED_IDS = 8; // in one log line

    private final HttpServerConnection connection;
    private final ClientMemory memory;
    /** Receives the number of bytes that were just read and are not kept. */
    private final IntConsumer onDropped;
    /** Bytes counted as held, those included that the server has begun to read as the next request. */
    private int countedBytes;
    /** Follows the requests that are not kept; null while all are. */
    private RequestFraming framing;
    private long answeredPlaceholders;
    private boolean placeholderInFlight;
    /** Runs once the request for which a placeholder is in flight has arrived in full. */
    private Runnable onRequestEnd = () -> {};

    PipelinedRequests(HttpServerConnection connection, ClientMemory memory, IntConsumer onDropped) {
        this.connection = connection;
        this.memory = memory;
        this.onDropped = onDropped;
    }

    /** Adds bytes that were just read. */
    void add(ByteBuffer received) {
        if (framing == null) {
            int bytes = append(received);
            recount();
            if (bytes > maxBytes()) dropBehind(framingOfHeld());
            return;
        }
        onDropped.accept(received.remaining());
        framing.read(received);
        runIfRequestEnded();
    }

    /** Drops what is held behind the last complete request if that can't be read as a request. */
    void dropIfUnreadable() {
        if (framing != null || connection.getExtraBytes() == null) return;
        RequestFraming held = framingOfHeld();
        if (held.isUnreadable()) dropBehind(held);
    }

    private RequestFraming framingOfHeld() {
        RequestFraming held = new RequestFraming();
        held.read(connection.getExtraBytes().getBuffer().duplicate());
        return held;
    }

    private int maxBytes() {
        return memory.isShort(Kind.PIPELINED_REQUEST) ? MAX_BYTES_WHEN_SHORT : MAX_BYTES;
    }

    /** Keeps the complete requests that are held, and from now on drops whatever follows them. */
    private void dropBehind(RequestFraming framingOfHeld) {
        ByteBuffer held = connection.getExtraBytes().getBuffer();
        framing = framingOfHeld;
        int kept = (int) framing.completeBytes();
        answeredPlaceholders = framing.startedRequests() - (framing.isBetweenRequests() ? 0 : 1);
        onDropped.accept(held.remaining() - kept);
        held.limit(held.position() + kept);
        if (kept == 0) clearHeld();
        recount();
    }

    /** Drops all that is held, as nothing behind the current request is read any more. */
    void discard() {
        if (connection.getExtraBytes() != null) clearHeld();
        recount();
    }

    private void clearHeld() {
        connection.getExtraBytes().close();
        connection.setExtraBytes(null);
    }

    /** Counts what is held now: the server lets go of the bytes as it reads them as the next requests. */
    void recount() {
        PooledByteBuffer extra = connection.getExtraBytes();
        count(extra == null ? 0 : extra.getBuffer().capacity());
    }

    private void count(int bytes) {
        if (!connection.isOpen()) return;
        memory.add(Kind.PIPELINED_REQUEST, bytes - countedBytes);
        countedBytes = bytes;
    }

    /** Stops counting what is held, as the connection is closed. */
    void onClosed() {
        memory.add(Kind.PIPELINED_REQUEST, -countedBytes);
        countedBytes = 0;
    }

    /** Returns true if nothing has been read behind the current request. */
    boolean isEmpty() {
        long current = placeholderInFlight ? 1 : 0;
        return connection.getExtraBytes() == null && droppedRequests() <= current;
    }

    /** Returns true while what is read is not kept. */
    boolean isDropping() {
        return framing != null;
    }

    /** Returns true if the request that the server has just read stands for one that was not kept. */
    boolean isPlaceholder() {
        return placeholderInFlight;
    }

    /** Returns true if what follows the current request can't be read, so that its connection has to be closed. */
    boolean mustCloseAfterwards() {
        return framing.isUnreadable() && droppedRequests() <= 1;
    }

    /** Runs an action once the request for which a placeholder is in flight has arrived in full. */
    void whenRequestHasArrived(Runnable action) {
        onRequestEnd = action;
        runIfRequestEnded();
    }

    private void runIfRequestEnded() {
        boolean arrived = droppedRequests() > 1 || framing.isBetweenRequests() || framing.isUnreadable();
        if (!placeholderInFlight || !arrived) return;
        Runnable action = onRequestEnd;
        onRequestEnd = () -> {};
        action.run();
    }

    /** Returns the number of requests that were not kept and are not answered yet. */
    long droppedRequests() {
        return framing == null ? 0 : framing.startedRequests() - answeredPlaceholders;
    }

    /** Ends the current request and prepares what the server reads next. */
    void onRequestAnswered() {
        if (placeholderInFlight) answeredPlaceholders++;
        placeholderInFlight = false;
        onRequestEnd = () -> {};
        if (framing == null || connection.getExtraBytes() != null) return;
        if (droppedRequests() == 0) {
            framing = null;
            return;
        }
        placeholderInFlight = true;
        connection.setExtraBytes(new ImmediatePooledByteBuffer(ByteBuffer.wrap(PLACEHOLDER.clone())));
    }

    /** Returns the ids of the buffered requests, as far as they have arrived; for the log. */
    List<String> heldIds() {
        PooledByteBuffer extra = connection.getExtraBytes();
        if (extra == null) return List.of();
        String text = StandardCharsets.ISO_8859_1.decode(extra.getBuffer().duplicate()).toString();
        return ID_HEADER.matcher(text).results().map(match -> match.group(1)).limit(MAX_LOGGED_IDS).toList();
    }

    private int append(ByteBuffer received) {
        PooledByteBuffer before = connection.getExtraBytes();
        ByteBuffer current = before == null ? ByteBuffer.allocate(0) : before.getBuffer();
        int total = current.remaining() + received.remaining();
        if (current.capacity() - current.limit() >= received.remaining()) {
            int end = current.limit();
            current.limit(end + received.remaining());
            current.put(end, received, received.position(), received.remaining());
            return total;
        }
        ByteBuffer larger = ByteBuffer.allocate(total + total / 2);
        larger.put(current).put(received).flip();
        if (before != null) before.close();
        connection.setExtraBytes(new ImmediatePooledByteBuffer(larger));
        return total;
    }
}
