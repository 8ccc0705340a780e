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
 * What clients send behind a request that is not answered yet (pipelining). It is kept for the server, which reads it
 * as the next requests, and limited for each connection and over all of them.
 */
final class EarlyBytes {
    /** For each connection: a request of the largest size with its head, and as much again. */
    private static final int PER_CONNECTION = 2 * (PlatformFront.MOST_BYTES + 16 * 1024);
    /** For each connection while the limit over all connections is reached. */
    private static final int PER_CONNECTION_WHEN_FULL = 64 * 1024;
    private static final long IN_ALL = 8L << 20;

    private static final Pattern ID = Pattern.compile("\\nReq-Id: ?([0-9A-Za-z._~-]{1,128})\\r?\\n",
            Pattern.CASE_INSENSITIVE);
    private static final int MOST_IDS = 8; // in a log line

    private final Map<HttpServerConnection, Integer> kept = new HashMap<>();
    private long keptInAll;

    /** Keeps bytes for the server; false if no more may be read from the connection until its request is answered. */
    boolean add(HttpServerConnection connection, ByteBuffer received) {
        int bytes = append(connection, received);
        Integer before = kept.put(connection, bytes);
        keptInAll += bytes - (before == null ? 0 : before);
        return bytes <= (keptInAll > IN_ALL ? PER_CONNECTION_WHEN_FULL : PER_CONNECTION);
    }

    /** The connection's request has been answered: what was kept is the server's now. */
    void forget(HttpServerConnection connection) {
        Integer before = kept.remove(connection);
        if (before != null) keptInAll -= before;
    }

    /** The ids of requests that are kept of a connection, as far as they have come; for the log. */
    static List<String> ids(HttpServerConnection connection) {
        PooledByteBuffer extra = connection.getExtraBytes();
        if (extra == null) return List.of();
        String text = StandardCharsets.ISO_8859_1.decode(extra.getBuffer().duplicate()).toString();
        return ID.matcher(text).results().map(found -> found.group(1)).limit(MOST_IDS).toList();
    }

    private static int append(HttpServerConnection connection, ByteBuffer received) {
        PooledByteBuffer before = connection.getExtraBytes();
        ByteBuffer old = before == null ? ByteBuffer.allocate(0) : before.getBuffer();
        int total = old.remaining() + received.remaining();
        if (old.capacity() - old.limit() >= received.remaining()) {
            int end = old.limit();
            old.limit(end + received.remaining());
            old.put(end, received, received.position(), received.remaining());
            return total;
        }
        ByteBuffer larger = ByteBuffer.allocate(total + total / 2);
        larger.put(old).put(received).flip();
        if (before != null) before.close();
        connection.setExtraBytes(new ImmediatePooledByteBuffer(larger));
        return total;
    }
}
