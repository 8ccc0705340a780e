package maplerail.net;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.Map;
import maplerail.core.Payload;

/** The parts of a client's request that are passed on to an engine unchanged. */
public record HttpPayload(HttpString method, String target, List<Map.Entry<HttpString, String>> headers, byte[] body)
        implements Payload {}
