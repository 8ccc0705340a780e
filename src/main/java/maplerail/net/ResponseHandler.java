package maplerail.net;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** What hears the answer to a {@link Call}: a head, pieces of the body, then one end or failure. */
public interface ResponseHandler {
    /** Status line and headers have come. */
    void head(int status, HeaderMap headers);

    /** A piece of the body; the buffer is the listener's only during the call. */
    void body(ByteBuffer piece);

    /** The body came to its end as the framing has it. */
    void end();

    /** No answer or no end of it. */
    void failed(Failure failure);

    /** Why a call has no whole answer. */
    enum Failure {
        /** This machine could not make a connection: it says nothing of the far side. */
        LOCAL_FAULT,
        /** The last byte was certainly not written: refused, never connected or broken before. */
        NEVER_SENT,
        /** It broke off, or ended too early, after its last byte was written. */
        BROKEN
    }
}
