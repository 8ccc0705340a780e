package maplerail.front.platform;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import maplerail.core.ClientMemory;
import maplerail.core.ClientMemory.Kind;

/**
 * Buffers what clients send after a request that is not answered yet (HTTP pipelining). The HTTP server later reads it
 * as the next requests. The size is limited for each connection and over all connections.
 */
final class PipelinedBytes {
    /** Limit for each connection: twice the size of the largest request with its head. */
    private static final int MAX_BYTES_PER_CONNECTION = 2 * (PlatformFront.MAX_BODY_BYTES + 16 * 1024);
    /** Limit for each connection while memory is short: a client that has left can still be noticed behind so much. */
    private static final int MAX_BYTES_PER_CONNECTION_WHEN_SHORT = 16 * 1024;

    private static final Pattern ID_HEADER = Pattern.compile("\\nReq-Id: ?([0-9A-Za-z._~-]{1,128})\\r?\\n",
            Pattern.CASE_INSENSITIVE);
    private static final int MAX_LOGGED_IDS = 8; // in one log line

    private final ClientMemory memory;
    /** Bytes held for each connection, those included that the server has begun to read as the next request. */
    private final Map<HttpServerConnection, Integer> heldBytes = new HashMap<>();

    PipelinedBytes(ClientMemory memory) {
        this.memory = memory;
    }

    /** Buffers bytes for the server; returns false if no more may be read until the current request is answered. */
    boolean add(HttpServerConnection connection, ByteBuffer received) {
        int bytes = append(connection, received);
        recount(connection);
        return bytes <= (memory.isShort(Kind.PIPELINED_REQUEST) ? MAX_BYTES_PER_CONNECTION_WHEN_SHORT
                : MAX_BYTES_PER_CONNECTION);
    }

    /** Counts what a connection holds now: the server lets go of the bytes as it reads them as the next requests. */
    void recount(HttpServerConnection connection) {
        PooledByteBuffer extra = connection.getExtraBytes();
        int bytes = extra == null ? 0 : extra.getBuffer().capacity();
        Integer before = heldBytes.get(connection);
        if (before == null && bytes == 0 || !connection.isOpen()) return;
        if (before == null) connection.addCloseListener(closed -> onClosed(connection));
        heldBytes.put(connection, bytes);
        memory.add(Kind.PIPELINED_REQUEST, bytes - (before == null ? 0 : before));
    }

    private void onClosed(HttpServerConnection connection) {
        memory.add(Kind.PIPELINED_REQUEST, -heldBytes.remove(connection));
    }

    /** Returns the ids of the buffered requests of a connection, as far as they have arrived; for the log. */
    static List<String> requestIds(HttpServerConnection connection) {
        PooledByteBuffer extra = connection.getExtraBytes();
        if (extra == null) return List.of();
        String text = StandardCharsets.ISO_8859_1.decode(extra.getBuffer().duplicate()).toString();
        return ID_HEADER.matcher(text).results().map(match -> match.group(1)).limit(MAX_LOGGED_IDS).toList();
    }

    private static int append(HttpServerConnection connection, ByteBuffer received) {
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
