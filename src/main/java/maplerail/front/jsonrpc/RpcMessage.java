package maplerail.front.jsonrpc;

import java.util.Map;
import maplerail.config.Json;

/**
 * A message from a client.
 *
 * @param id the JSON text of the id, or null for a notification
 * @param params the JSON text of an object
 */
record RpcMessage(String id, String method, String params) {
    /** The text is not a valid message; {@code answer} is the error response to its sender. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;
        private final String answer;

        Malformed(String answer) {
            super(answer);
            this.answer = answer;
        }

        String answer() {
            return answer;
        }
    }

    static RpcMessage parse(String text) throws Malformed {
        if (!Json.valid(text)) throw new Malformed(RpcError.PARSE.answer("null"));
        Map<String, String> fields = Json.fields(text);
        if (fields == null) throw new Malformed(RpcError.INVALID.answer("null", "one object for each frame", ""));
        String id = fields.get("id");
        boolean validId = id == null || id.length() <= 256 && (id.startsWith("\"") || id.matches("-?[0-9].*"));
        String responseId = validId && id != null ? id : "null";
        String method = fields.getOrDefault("method", "");
        String params = fields.getOrDefault("params", "{}");
        if (!validId) throw new Malformed(RpcError.INVALID.answer("null", "id", ""));
        if (!"\"2.0\"".equals(fields.get("jsonrpc")))
            throw new Malformed(RpcError.INVALID.answer(responseId, "jsonrpc", ""));
        if (!method.startsWith("\"")) throw new Malformed(RpcError.INVALID.answer(responseId, "method", ""));
        if (!params.startsWith("{")) {
            throw new Malformed(params.startsWith("[") ? RpcError.PARAMS.answer(responseId, "by name, please", "")
                    : RpcError.INVALID.answer(responseId, "params", ""));
        }
        return new RpcMessage(id, maplerail.config.JsonValue.parse("method", method).text(), params);
    }
}
