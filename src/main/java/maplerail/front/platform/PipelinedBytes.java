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

/**
 * Buffers what clients send after a request that is not answered yet (HTTP pipelining). The HTTP server later reads it
 * as the next requests. The size is limited for each connection and over all connections.
 */
final class PipelinedBytes {
    /** Limit for each connection: twice the size of the largest request with its head. */
    private static final int MAX_BYTES_PER_CONNECTION = 2 * (PlatformFront.MAX_BODY_BYTES + 16 * 1024);
    /** Limit for each connection while the limit over all connections is exceeded. */
    private static final int MAX_BYTES_PER_CONNECTION_WHEN_FULL = 64 * 1024;
    private static final long MAX_TOTAL_BYTES = 8L << 20;

    private static final Pattern ID_HEADER = Pattern.compile("\\nReq-Id: ?([0-9A-Za-z._~-]{1,128})\\r?\\n",
            Pattern.CASE_INSENSITIVE);
    private static final int MAX_LOGGED_IDS = 8; // in one log line

    private final Map<HttpServerConnection, Integer> buffered = new HashMap<>();
    private long totalBytes;

    /** Buffers bytes for the server; returns false if no more may be read until the current request is answered. */
    boolean add(HttpServerConnection connection, ByteBuffer received) {
        int bytes = append(connection, received);
        Integer before = buffered.put(connection, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        return bytes <= (totalBytes > MAX_TOTAL_BYTES ? MAX_BYTES_PER_CONNECTION_WHEN_FULL : MAX_BYTES_PER_CONNECTION);
    }

    /** Stops counting the bytes of a connection once its request is answered: they belong to the server now. */
    void release(HttpServerConnection connection) {
        Integer before = buffered.remove(connection);
        if (before != null) totalBytes -= before;
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
