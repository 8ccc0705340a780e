package maplerail.front.jsonrpc;

import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.JsonValue;
import maplerail.core.Caller;
import maplerail.core.RequestHandle;

/** The connection of one client, which carries streaming answers and tool calls concurrently. */
final class Session {
    private static final int MAX_OPEN_REQUESTS = 64; // on one connection
    private static final int PAUSE_THRESHOLD_BYTES = 64 * 1024; // unsent: above this, streams pause
    private static final int MAX_UNSENT_BYTES = 1024 * 1024; // unsent: above this, the connection is closed
    private static final double RETRY_AFTER_MS = 100;

    private final WebSocketChannel channel;
    private final int teamIndex;
    private final Dispatcher dispatcher;
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private int unsentBytes;
    private boolean closed;

    /** Runs the requests of a session. */
    interface Dispatcher {
        /** Starts a request; returns {@code null} if it was answered at once. */
        RequestHandle dispatch(Session session, int teamIndex, RpcMessage message, PendingRequest pending);

        /** Returns true while new requests are accepted. */
        boolean acceptsRequests();
    }

    Session(WebSocketChannel channel, int teamIndex, Dispatcher dispatcher) {
        this.channel = channel;
        this.teamIndex = teamIndex;
        this.dispatcher = dispatcher;
    }

    void onMessage(String text) {
        RpcMessage message;
        try {
            message = RpcMessage.parse(text);
        } catch (RpcMessage.Malformed e) {
            send(e.answer());
            return;
        }
        if (message.method().equals("notifications/cancelled")) {
            cancel(message);
        } else if (message.id() != null) {
            startRequest(message);
        }
        // Any other notification is ignored and gets no answer.
    }

    private void startRequest(RpcMessage message) {
        if (pendingRequests.containsKey(message.id())) {
            // The client would mistake an answer with this id for the final answer to the first request.
            send(RpcError.INVALID.answer("null", "id is in flight", "{\"duplicateId\":" + message.id() + "}"));
        } else if (!dispatcher.acceptsRequests()) {
            send(RpcError.refused(message.id(), "draining", RETRY_AFTER_MS));
        } else if (pendingRequests.size() >= MAX_OPEN_REQUESTS) {
            send(RpcError.refused(message.id(), "too many requests on this connection", RETRY_AFTER_MS));
        } else {
            PendingRequest pending = new PendingRequest(message.id());
            pendingRequests.put(message.id(), pending);
            RequestHandle handle;
            try {
                handle = dispatcher.dispatch(this, teamIndex, message, pending);
            } catch (ConfigException e) {
                pending.finish(RpcError.PARAMS.answer(message.id(), e.getMessage(), ""));
                return;
            }
            pending.handle = handle;
        }
    }

    private void cancel(RpcMessage message) {
        String id = Json.fields(message.params()).get("requestId");
        PendingRequest pending = id == null ? null : pendingRequests.get(id);
        if (pending == null) return;
        pending.finish(RpcError.CANCELLED.failed(id, "cancelled"));
        if (pending.handle != null) pending.handle.cancel();
    }

    /** Abandons all open requests, as the client has left. */
    void onClosed() {
        if (closed) return;
        closed = true;
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            pending.finished = true;
            if (pending.handle != null) pending.handle.cancel();
        }
        pendingRequests.clear();
    }

    int openRequests() {
        return pendingRequests.size();
    }

    void send(String message) {
        if (closed) return;
        int size = message.length();
        unsentBytes += size;
        if (unsentBytes > MAX_UNSENT_BYTES) {
            org.xnio.IoUtils.safeClose(channel);
            onClosed();
            return;
        }
        WebSockets.sendText(message, channel, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel sender, Void none) {
                unsentBytes -= size;
                if (unsentBytes <= PAUSE_THRESHOLD_BYTES / 2) {
                    for (PendingRequest pending : List.copyOf(pendingRequests.values())) pending.resume();
                }
            }

            @Override
            public void onError(WebSocketChannel sender, Void none, Throwable error) {
                org.xnio.IoUtils.safeClose(channel);
                onClosed();
            }
        });
    }

    boolean isBackedUp() {
        return unsentBytes > PAUSE_THRESHOLD_BYTES;
    }

    /** A request that waits for its one final answer. */
    final class PendingRequest {
        final String id;
        private RequestHandle handle;
        private boolean paused;
        private boolean finished;

        PendingRequest(String id) {
            this.id = id;
        }

        /** Sends the final answer; any later one is dropped. */
        void finish(String answer) {
            if (finished) return;
            finished = true;
            pendingRequests.remove(id);
            send(answer);
        }

        void finish(Caller.Why why, boolean refused, double retryAfterMs) {
            finish(switch (why) {
                case INVALID -> RpcError.PARAMS.answer(id, "the arguments are larger than the contract allows", "");
                case BUDGET -> RpcError.refused(id, "budget", retryAfterMs);
                case DEADLINE -> RpcError.DEADLINE.failed(id, "deadline");
                case OVERLOAD -> RpcError.refused(id, "overload", retryAfterMs);
                default ->
                    refused ? RpcError.refused(id, "overload", retryAfterMs) : RpcError.FAILED.failed(id, "engine");
            });
        }

        /** Sends an event of a streaming answer; returns false to pause the stream until the client catches up. */
        boolean sendEvent(String data) {
            if (finished) return true;
            send("{\"jsonrpc\":\"2.0\",\"method\":\"answers/event\",\"params\":{\"id\":" + id + ",\"data\":"
                    + Json.quote(data) + "}}");
            paused = isBackedUp();
            return !paused;
        }

        private void resume() {
            if (!paused || handle == null) return;
            paused = false;
            handle.writable();
        }
    }

    static JsonValue params(RpcMessage message) {
        return JsonValue.parseObject("params", message.params());
    }
}
