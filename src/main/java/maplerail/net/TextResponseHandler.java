package maplerail.net;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Collects a response as text and passes it on once complete. The text is cut off at a size limit, and events after the
 * end are ignored.
 */
public abstract class TextResponseHandler implements ResponseHandler {
    private static final int MAX_BYTES = 4 << 20;

    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private int status;
    private HeaderMap headers;
    private boolean ended;
    /** Bytes of the text that are not blank; blanks alone are no progress. */
    private long contentBytes;
    private long checkedBytes;

    /**
     * Handles the complete response.
     *
     * @return false if the response is unusable, which counts as a failure
     */
    protected abstract boolean onResponse(int code, HeaderMap head, String body);

    /** Handles a missing or unusable response. */
    protected abstract void onFailure();

    /**
     * Aborts a call that is overdue, unless the text of its response is still arriving. Guards against a response that is
     * large or arrives over a slow path, which would otherwise be aborted and requested again and again. What has silenced
     * its connection may have silenced the idle ones to the same peer too, so that they are closed with it.
     *
     * @return true if the call continues and has to be checked again
     */
    public final boolean abortIfStalled(Call call) {
        if (ended) return false;
        if (contentBytes > checkedBytes) {
            checkedBytes = contentBytes;
            return true;
        }
        call.closeIdleToPeer();
        abort(call);
        return false;
    }

    /** Returns true while nothing of the response's text has arrived. */
    public final boolean isSilent() {
        return !ended && contentBytes == 0;
    }

    /** Returns true once the call has ended. */
    public final boolean ended() {
        return ended;
    }

    /** Aborts a call, which counts as a failure. */
    public final void abort(Call call) {
        if (ended) return;
        call.abort();
        failed(Failure.BROKEN);
    }

    @Override
    public final void head(int code, HeaderMap head) {
        status = code;
        headers = head;
    }

    @Override
    public final void body(ByteBuffer part) {
        while (part.hasRemaining() && text.size() < MAX_BYTES) {
            byte next = part.get();
            if (next > ' ') contentBytes++;
            text.write(next);
        }
    }

    @Override
    public final void end() {
        if (ended) return;
        ended = true;
        if (!onResponse(status, headers, text.toString(StandardCharsets.UTF_8))) onFailure();
    }

    @Override
    public final void failed(Failure failure) {
        if (ended) return;
        ended = true;
        onFailure();
    }
}
