package maplerail.net;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Receives the response to a {@link Call}: a head, parts of the body, then either the end or a failure. */
public interface ResponseHandler {
    /** Largest chunk where a handler does not set a limit of its own. */
    int DEFAULT_MAX_CHUNK_BYTES = 1 << 20;
    /** Quiet time after a response where a handler does not set one of its own. */
    double DEFAULT_QUIET_MS = 30;

    /** Called when the status line and the headers have been received. */
    void head(int status, HeaderMap headers);

    /** Called for each part of the body; the buffer may be used only during the call. */
    void body(ByteBuffer part);

    /** Returns the largest chunk of a body; a larger one is refused as soon as its size has been read. */
    default int maxChunkBytes() {
        return DEFAULT_MAX_CHUNK_BYTES;
    }

    /** Called when a chunk of the body has been received in full, after its last part. */
    default void chunkEnd() {}

    /** Called when the body is complete according to its framing. */
    void end();

    /**
     * Returns for how long a connection must have been quiet after the response before it is used again. A surplus response
     * that comes later would be taken for that to the next request.
     */
    default double quietMs() {
        return DEFAULT_QUIET_MS;
    }

    /** Called if there is no response or if it is incomplete. */
    void failed(Failure failure);

    /** Called last, once the call is over, however it ended. */
    default void closed() {}

    /** Why a call has no complete response. */
    enum Failure {
        /** This machine could not open a connection, which says nothing about the peer. */
        LOCAL_FAULT,
        /**
         * The last byte of the request was not written: the connection was refused, not established, or broke before.
         */
        NEVER_SENT,
        /** The connection broke or ended too early after the last byte of the request had been written. */
        BROKEN
    }
}
