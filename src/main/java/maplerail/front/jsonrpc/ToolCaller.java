package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import maplerail.config.Json;

/** Collects a tool server's reply and passes its result or error on unchanged. */
final class ToolCaller extends RpcCaller {
    private String reply = "";

    ToolCaller(Session.PendingRequest pending) {
        super(pending);
    }

    @Override
    public boolean event(byte[] chunk) {
        reply += new String(chunk, StandardCharsets.UTF_8);
        return true;
    }

    @Override
    public void end() {
        Map<String, String> fields = Json.fields(reply);
        String member = fields == null ? "" : fields.containsKey("result") ? "result" : "error";
        if (fields == null || !fields.containsKey(member)
                || fields.containsKey("result") && fields.containsKey("error")) {
            pending.finish(RpcError.FAILED.failed(pending.id, "the tool's reply is no JSON-RPC answer"));
            return;
        }
        pending.finish(
                "{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"" + member + "\":" + fields.get(member) + "}");
    }

    @Override
    public void broken() {
        pending.finish(Why.ENGINE, false, 0);
    }
}
