package maplerail.front;

import java.util.ArrayDeque;

/**
 * Tracks, for one client connection, the earliest time at which the first byte of the current request can have been
 * sent. Bytes may wait in the kernel before they are read, and those of several requests may be read together.
 */
final class ArrivalLog {
    private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    private long received;
    private boolean stopped;

    /** Bytes from an offset in all that the client has sent, none of which was sent before a given time. */
    private record Chunk(long offset, double notBeforeMs) {}

    /** Records that bytes were read, none of which was sent before {@code notBeforeMs}. */
    void onRead(long count, double notBeforeMs) {
        if (stopped) return;
        if (chunks.isEmpty() || chunks.peekLast().notBeforeMs != notBeforeMs) {
            chunks.addLast(new Chunk(received, notBeforeMs));
        }
        received += count;
    }

    /** Forgets the last bytes that were read: they are not kept, and no request begins in them. */
    void discardLast(long count) {
        if (stopped) return;
        received -= count;
        while (!chunks.isEmpty() && chunks.peekLast().offset >= received) chunks.pollLast();
    }

    /** Ends the current request; the last {@code unread} bytes that were read belong to later requests. */
    void requestEnded(long unread) {
        long nextOffset = received - unread;
        while (!chunks.isEmpty() && firstChunkEnd() <= nextOffset) chunks.pollFirst();
    }

    /** Stops recording: the connection no longer carries HTTP requests. */
    void stop() {
        stopped = true;
        chunks.clear();
    }

    /** Returns the number of chunks that are kept. */
    int size() {
        return chunks.size();
    }

    private long firstChunkEnd() {
        Chunk first = chunks.pollFirst();
        long end = chunks.isEmpty() ? received : chunks.peekFirst().offset;
        chunks.addFirst(first);
        return end;
    }

    /** Returns the time before which no byte of the current request was sent; infinite if none has been read. */
    double notBeforeMs() {
        return chunks.isEmpty() ? Double.POSITIVE_INFINITY : chunks.peekFirst().notBeforeMs;
    }
}
