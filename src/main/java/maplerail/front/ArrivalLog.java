package maplerail.front;

import java.util.ArrayDeque;

/**
 * Of one client's connection: the earliest time at which the first byte of its present request can have been sent. Bytes
 * may lie in the system for a while before they are read, and those of several requests may be read together.
 */
final class ArrivalLog {
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private long received;
    private boolean stopped;

    /** Bytes from an offset in all that the client has sent, none of which had been sent by some time. */
    private record Piece(long offset, double notBeforeMs) {}

    /** More bytes were read, none of which had been sent by some time. */
    void read(long count, double notBeforeMs) {
        if (stopped) return;
        if (pieces.isEmpty() || pieces.peekLast().notBeforeMs != notBeforeMs) {
            pieces.addLast(new Piece(received, notBeforeMs));
        }
        received += count;
    }

    /** The present request has ended; so many bytes that were read belong to those behind it. */
    void requestEnded(long unread) {
        long next = received - unread;
        while (!pieces.isEmpty() && endOfFirst() <= next) pieces.pollFirst();
    }

    /** What comes from now on is not made up of requests: nothing more is noted. */
    void stop() {
        stopped = true;
        pieces.clear();
    }

    /** Pieces that are remembered. */
    int size() {
        return pieces.size();
    }

    private long endOfFirst() {
        Piece first = pieces.pollFirst();
        long end = pieces.isEmpty() ? received : pieces.peekFirst().offset;
        pieces.addFirst(first);
        return end;
    }

    /** Before this time not a byte of the present request had been sent; a time not reached if none was read. */
    double notBeforeMs() {
        return pieces.isEmpty() ? Double.POSITIVE_INFINITY : pieces.peekFirst().notBeforeMs;
    }
}
