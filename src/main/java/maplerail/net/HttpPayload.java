package maplerail.net;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.Map;
import maplerail.core.Payload;

/** The parts of a client's request that are passed on to an engine unchanged. */
public final class HttpPayload implements Payload {
    private final HttpString method;
    private final String target;
    private final List<Map.Entry<HttpString, String>> headers;
    /** Null once it has been discarded. */
    private byte[] body;

    /** Creates a payload; it keeps the body until it is discarded. */
    public HttpPayload(HttpString method, String target, List<Map.Entry<HttpString, String>> headers, byte[] body) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    HttpString method() {
        return method;
    }

    String target() {
        return target;
    }

    List<Map.Entry<HttpString, String>> headers() {
        return headers;
    }

    /** Returns the body; fails once it has been discarded. */
    byte[] body() {
        if (body == null) throw new IllegalStateException("the payload has been discarded");
        return body;
    }

    @Override
    public void discard() {
        body = null;
    }
}
