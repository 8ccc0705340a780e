package maplerail.front.jsonrpc;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import maplerail.config.ConfigException;
import maplerail.config.StableIds;
import maplerail.config.Json;
import maplerail.config.NameTables;
import maplerail.config.JsonValue;
import maplerail.core.ServiceRequest;
import maplerail.core.Broker;
import maplerail.core.RequestHandle;
import maplerail.net.HttpPayload;

/** Implements the method answers/stream: a completion from the platform's engines, through the platform's broker. */
final class AnswerMethods {
    private static final double BYTES_PER_TOKEN = 4; // estimate for a request without prompt_len
    private static final double MAX_TOKENS = 1e7;

    private final Broker broker;
    private final NameTables names;

    AnswerMethods(Broker broker, NameTables names) {
        this.broker = broker;
        this.names = names;
    }

    RequestHandle start(RpcMessage message, String team, Session.PendingRequest pending) {
        JsonValue params = Session.params(message);
        String kind = params.require("kind").text();
        int kindIndex = names.classes().indexOf(kind);
        if (kindIndex < 0) throw new ConfigException("params.kind: unknown value '" + kind + "'");
        int tenantIndex = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(team);
        if (tenantIndex < 0) throw new ConfigException("this team is no tenant of the deployment");
        if (!params.require("body").isObject()) throw new ConfigException("params.body: not an object");
        byte[] body = Json.fields(message.params()).get("body").getBytes(StandardCharsets.UTF_8);
        double deadlineMs = positiveNumber(params.require("deadline_ms"), 3_600_000);
        double promptTokens = params.at("prompt_len").present() ? positiveNumber(params.at("prompt_len"), MAX_TOKENS)
                : body.length / BYTES_PER_TOKEN;
        double maxOutputTokens = params.at("max_out").present() ? positiveNumber(params.at("max_out"), MAX_TOKENS) : 0;
        String key = params.at("key").text("");
        String id = UUID.randomUUID().toString();
        List<Map.Entry<HttpString, String>> headers = new ArrayList<>();
        addHeader(headers, "Req-Id", id);
        addHeader(headers, "Req-Kind", kind);
        addHeader(headers, "Req-Owner", team);
        if (key.matches("[0-9A-Za-z._~-]{1,128}")) addHeader(headers, "Req-Key", key);
        headers.add(new SimpleImmutableEntry<>(Headers.CONTENT_TYPE, "application/json"));
        ServiceRequest request = new ServiceRequest(id, kindIndex, tenantIndex, StableIds.ofKey(key), promptTokens, 0,
                0, deadlineMs,
                maxOutputTokens, 0, false, body.length,
                new HttpPayload(io.undertow.util.Methods.POST, "/v1/chat/completions", headers, body));
        return broker.submit(request, new AnswerStreamCaller(pending));
    }

    private static double positiveNumber(JsonValue field, double max) {
        double value = field.number();
        if (!(value > 0 && value <= max))
            throw new ConfigException(field.path() + ": not above 0 and up to " + (long) max);
        return value;
    }

    private static void addHeader(List<Map.Entry<HttpString, String>> headers, String name, String value) {
        headers.add(new SimpleImmutableEntry<>(new HttpString(name), value));
    }
}
