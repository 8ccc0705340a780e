package maplerail.front.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.config.StableIds;
import maplerail.config.NameTables;
import maplerail.core.ServiceRequest;
import maplerail.net.HttpPayload;

/** Parses the headers and the body of an HTTP request into a {@link ServiceRequest}, or reports what is invalid. */
final class RequestParser {
    private static final double BYTES_PER_TOKEN = 4; // estimate for a request without prompt_len
    private static final double MAX_DEADLINE_S = 3_600;
    private static final double MAX_TOKENS = 1e7;
    /** Headers that the gateway does not forward to engines as they are. */
    private static final Set<HttpString> NOT_FORWARDED = Set.of(Headers.HOST, Headers.CONNECTION,
            Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.EXPECT, Headers.UPGRADE, Headers.TE,
            Headers.TRAILER,
            new HttpString("Keep-Alive"), new HttpString("Req-Deadline"));

    private final NameTables names;

    RequestParser(NameTables names) {
        this.names = names;
    }

    /** An invalid request; the message is sent to the client. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequest(String message) {
            super(message);
        }
    }

    /** Parses a request that was not sent before {@code sentMs}. */
    ServiceRequest parse(HttpServerExchange exchange, byte[] body, double sentMs) throws BadRequest {
        String id = requireHeader(exchange, "Req-Id");
        if (!id.matches("[0-9A-Za-z._~-]{1,128}")) throw new BadRequest("Req-Id: not an id");
        int kindIndex = indexOf(names.classes(), requireHeader(exchange, "Req-Kind"), "Req-Kind");
        int tenantIndex = names.tenants().isEmpty() ? 0
                : indexOf(names.tenants(), requireHeader(exchange, "Req-Owner"), "Req-Owner");
        double budgetMs = budgetMs(exchange);
        Map<String, String> extra = parseExtra(exchange.getRequestHeaders().getFirst("Req-Extra"));
        double promptTokens = tokens(extra, "prompt_len", body.length / BYTES_PER_TOKEN);
        long prefix = StableIds.ofKey(extra.get("prefix"));
        double maxOutputTokens = tokens(extra, "max_out", 0);
        String costHint = exchange.getRequestHeaders().getFirst("Req-Cost");
        boolean retry = "again".equals(exchange.getRequestHeaders().getFirst("Req-Retry"));
        return new ServiceRequest(id, kindIndex, tenantIndex,
                StableIds.ofKey(exchange.getRequestHeaders().getFirst("Req-Key")),
                promptTokens,
                prefix, prefix == 0 ? 0 : tokens(extra, "prefix_len", 0), budgetMs, maxOutputTokens,
                costHint == null ? 0 : parseNumber(costHint, "Req-Cost", MAX_DEADLINE_S * 1_000), retry, body.length,
                new HttpPayload(exchange.getRequestMethod(), target(exchange), headers(exchange), body), sentMs);
    }

    /** Returns how long the client waits, in ms. */
    static double budgetMs(HttpServerExchange exchange) throws BadRequest {
        double seconds = parseNumber(requireHeader(exchange, "Req-Deadline"), "Req-Deadline", MAX_DEADLINE_S);
        if (!(seconds > 0)) throw new BadRequest("Req-Deadline: not above 0");
        return seconds * 1_000;
    }

    private static String target(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static List<Map.Entry<HttpString, String>> headers(HttpServerExchange exchange) {
        List<Map.Entry<HttpString, String>> result = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (NOT_FORWARDED.contains(values.getHeaderName())) continue;
            for (String value : values) result.add(new SimpleImmutableEntry<>(values.getHeaderName(), value));
        }
        return result;
    }

    private static String requireHeader(HttpServerExchange exchange, String name) throws BadRequest {
        String value = exchange.getRequestHeaders().getFirst(name);
        if (value == null || value.isBlank()) throw new BadRequest(name + ": missing");
        return value.trim();
    }

    private static int indexOf(List<String> known, String name, String header) throws BadRequest {
        int index = known.indexOf(name);
        if (index < 0) throw new BadRequest(header + ": unknown");
        return index;
    }

    static Map<String, String> parseExtra(String text) throws BadRequest {
        Map<String, String> result = new HashMap<>();
        if (text == null || text.isBlank()) return result;
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            if (separator <= 0) throw new BadRequest("Req-Extra: not of the form key=value");
            result.put(pair.substring(0, separator).trim(), pair.substring(separator + 1).trim());
        }
        return result;
    }

    private static double tokens(Map<String, String> extra, String key, double fallback) throws BadRequest {
        String text = extra.get(key);
        return text == null ? fallback : parseNumber(text, "Req-Extra: " + key, MAX_TOKENS);
    }

    static double parseNumber(String text, String name, double max) throws BadRequest {
        if (!text.matches("[0-9]{1,15}(\\.[0-9]{0,15})?|\\.[0-9]{1,15}")) throw new BadRequest(name + ": not a number");
        double value = Double.parseDouble(text);
        if (value > max) throw new BadRequest(name + ": above " + (long) max);
        return value;
    }
}
