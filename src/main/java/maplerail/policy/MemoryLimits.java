package maplerail.policy;

/**
 * Limits on the memory that a gateway uses for its clients, and which of them must yield. Requests that have not
 * arrived in full yield before any other: their clients can send them again, and a bad client never completes them.
 *
 * @param totalBytes limit on all that is held for clients
 */
public record MemoryLimits(long totalBytes) {
    /** Incomplete requests get this part of the memory, so that they never crowd out complete ones. */
    private static final int INCOMPLETE_DIVISOR = 2;

    /**
     * Whether one of the incomplete requests must yield, given what they hold, what is held in all, and what is needed
     * in addition.
     */
    public boolean mustIncompleteYield(long incompleteBytes, long heldBytes, long neededBytes) {
        if (incompleteBytes == 0) return false;
        return incompleteBytes > totalBytes / INCOMPLETE_DIVISOR || !mayHold(heldBytes, neededBytes);
    }

    /** Whether further bytes may be held in addition to those that are held. */
    public boolean mayHold(long heldBytes, long neededBytes) {
        return heldBytes + neededBytes <= totalBytes;
    }
}
