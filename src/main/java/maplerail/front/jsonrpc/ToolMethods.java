package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Collectors;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.JsonValue;
import maplerail.config.ToolsConfig;
import maplerail.core.ServiceRequest;
import maplerail.core.Broker;
import maplerail.core.RequestHandle;
import maplerail.net.ToolPayload;

/** Implements the methods tools/call and tools/list; calls go to the broker of the tool's service. */
final class ToolMethods {
    private static final double BYTES_PER_TOKEN = 4; // estimate of the prompt from the arguments

    private final ToolsConfig config;
    private final Map<String, Broker> brokers;

    ToolMethods(ToolsConfig config, Map<String, Broker> brokers) {
        this.config = config;
        this.brokers = brokers;
    }

    RequestHandle call(RpcMessage message, int teamIndex, Session.PendingRequest pending) {
        JsonValue params = Session.params(message);
        String name = params.require("name").text();
        ToolsConfig.Tool tool = config.tools().get(name);
        if (tool == null) throw new ConfigException("params.name: unknown tool '" + name + "'");
        if (params.at("arguments").present() && !params.at("arguments").isObject()) {
            throw new ConfigException("params.arguments: not an object");
        }
        String arguments = Json.fields(message.params()).getOrDefault("arguments", "{}");
        ToolsConfig.Contract contract = config.contracts().get(tool.contractIndex());
        String id = UUID.randomUUID().toString();
        byte[] body = ("{\"jsonrpc\":\"2.0\",\"id\":" + Json.quote(id)
                + ",\"method\":\"tools/call\",\"params\":{\"name\":"
                + Json.quote(name) + ",\"arguments\":" + arguments + "}}").getBytes(StandardCharsets.UTF_8);
        int argumentBytes = arguments.getBytes(StandardCharsets.UTF_8).length;
        ServiceRequest request = new ServiceRequest(id, tool.contractIndex(), teamIndex, 0,
                argumentBytes / BYTES_PER_TOKEN,
                0, 0,
                contract.deadlineMs(),
                contract.maxReplyBytes() / BYTES_PER_TOKEN, 0, false, argumentBytes,
                new ToolPayload(config.services().get(tool.service()).path(), body, contract.maxReplyBytes()));
        return brokers.get(tool.service()).submit(request, new ToolCaller(pending));
    }

    String list() {
        return config.tools().entrySet().stream().map(tool -> "{\"name\":" + Json.quote(tool.getKey())
                + ",\"contract\":" + Json.quote(config.contracts().get(tool.getValue().contractIndex()).name()) + "}")
                .collect(Collectors.joining(",", "{\"tools\":[", "]}"));
    }
}
