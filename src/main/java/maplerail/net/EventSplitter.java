package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line. Guards against forwarding part of an event when a stream
 * breaks: the client would have to count a token that it cannot parse.
 */
final class EventSplitter {
    /** Limits the size of an incomplete event. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * Passes all events that are complete now to the consumer, in one part. Returns false if an incomplete event
     * exceeds the limit.
     */
    boolean feed(ByteBuffer part, Consumer<byte[]> consumer) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                if (lineEmpty) end = i + 1;
                lineEmpty = true;
            } else if (bytes[i] != '\r') {
                lineEmpty = false;
            }
        }
        pending.write(bytes, 0, end);
        if (end > 0) {
            byte[] events = pending.toByteArray();
            pending.reset();
            consumer.accept(events);
        }
        pending.write(bytes, end, bytes.length - end);
        return pending.size() <= MAX_EVENT_BYTES;
    }

    /** Returns the bytes received after the last complete event. */
    byte[] remainder() {
        return pending.toByteArray();
    }
}
