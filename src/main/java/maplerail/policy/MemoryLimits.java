package maplerail.policy;

/**
 * Limits on the memory that a gateway uses for its clients, and which of them must yield. Requests that have not
 * arrived in full yield before any other: their clients can send them again, and a bad client never completes them. Events
 * that have not arrived in full yield to each other alone, as each breaks a stream.
 *
 * @param totalBytes limit on all that is held for clients
 */
public record MemoryLimits(long totalBytes) {
    /** Incomplete requests get this part of the memory, so that they never crowd out complete ones. */
    private static final int INCOMPLETE_DIVISOR = 2;
    /** Pipelined requests, unread answers and unfinished events each get this part of the memory. */
    private static final int BACKLOG_DIVISOR = 4;

    /**
     * Whether one of the incomplete requests must yield, given what they hold, what is held in all, and what is needed
     * in addition.
     */
    public boolean mustIncompleteYield(long incompleteBytes, long heldBytes, long neededBytes) {
        if (incompleteBytes == 0) return false;
        return incompleteBytes > totalBytes / INCOMPLETE_DIVISOR || !mayHold(heldBytes, neededBytes);
    }

    /** Whether one of the events that engines have not sent in full must yield, given what they hold. */
    public boolean mustUnfinishedEventYield(long eventBytes) {
        return eventBytes > totalBytes / BACKLOG_DIVISOR;
    }

    /** Whether bytes of a kind that can wait at their sender should do so, given how many are held. */
    public boolean isShort(long bytesOfKind, long heldBytes) {
        return bytesOfKind > totalBytes / BACKLOG_DIVISOR || heldBytes > totalBytes;
    }

    /** Whether further bytes may be held in addition to those that are held. */
    public boolean mayHold(long heldBytes, long neededBytes) {
        return heldBytes + neededBytes <= totalBytes;
    }
}
