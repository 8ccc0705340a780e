package maplerail.core;

import maplerail.policy.ProtocolRules.ClientPresence;

/**
 * Receives the answer to a request: exactly one of {@link #end}, {@link #broken}, {@link #refuse} and {@link #fail}, or
 * none of them if it disconnects before. Events precede only end or broken.
 */
public interface Caller {
    /** Reason why a request was not served. */
    enum Why { INVALID, DUPLICATE, BUDGET, OVERLOAD, ENGINE, DEADLINE }

    /**
     * Returns whether the caller is connected. Checks the connection now, as the close may be unread while the loop is
     * busy.
     */
    default ClientPresence presence() {
        return ClientPresence.CONNECTED;
    }

    /** Receives a piece of the answer, unchanged. Returns false to pause until {@link RequestHandle#writable()}. */
    boolean event(byte[] event);

    /** The answer is complete. */
    void end();

    /** The answer was cut off after its first event. */
    void broken();

    /** The request was not served and is safe to retry. {@code retryAfterMs} is 0 if there is no advice. */
    void refuse(Why reason, double retryAfterMs);

    /** The request was not served, and it may have run. */
    void fail(Why reason);
}
