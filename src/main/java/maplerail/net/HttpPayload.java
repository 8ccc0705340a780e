package maplerail.net;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.Map;
import maplerail.core.Payload;

/** A client's request as it came: what passes on to an engine unchanged. */
public record HttpPayload(HttpString method, String target, List<Map.Entry<HttpString, String>> headers, byte[] body)
        implements Payload {}
