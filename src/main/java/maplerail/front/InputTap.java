package maplerail.front;

import java.nio.ByteBuffer;

/** Sees the bytes that are read from a client before the HTTP server does. */
@FunctionalInterface
public interface InputTap {
    /**
     * Looks at bytes that were just read.
     *
     * @return whether the server may read them; otherwise they are dropped, and the server waits for further bytes
     */
    boolean accept(ByteBuffer bytes);
}
