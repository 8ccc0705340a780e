package maplerail.front.jsonrpc;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.websockets.WebSocketConnectionCallback;
import io.undertow.websockets.WebSocketProtocolHandshakeHandler;
import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.BufferedTextMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.config.NameTables;
import maplerail.config.ToolsConfig;
import maplerail.core.Broker;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.core.RequestHandle;
import maplerail.front.ClientListener;

/** Serves JSON-RPC 2.0 over WebSockets, one message per text frame, to the teams in the operator's tools file. */
public final class RpcFront implements HttpHandler, Session.Dispatcher {
    private static final int MAX_MESSAGE_BYTES = 256 * 1024;

    private final ToolsConfig config;
    private final ToolMethods toolMethods;
    private final AnswerMethods answerMethods;
    private final Lifecycle lifecycle;
    private final Set<Session> sessions = new HashSet<>();
    private final Set<WebSocketChannel> channels = new HashSet<>();
    private ClientListener listener;

    /**
     * Creates a front.
     *
     * @param brokers the broker of each tool service, by the service's name
     * @param platformBroker the broker of the platform's engines
     */
    public RpcFront(ToolsConfig config, Map<String, Broker> brokers, Broker platformBroker, NameTables names,
            Lifecycle lifecycle) {
        this.config = config;
        this.toolMethods = new ToolMethods(config, brokers);
        this.answerMethods = new AnswerMethods(platformBroker, names);
        this.lifecycle = lifecycle;
    }

    /** Sets the listener that tracks the client connections. */
    public void setListener(ClientListener listener) {
        this.listener = listener;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        listener.onRequestHead(exchange);
        String owner = exchange.getRequestHeaders().getFirst("Req-Owner");
        int teamIndex = config.teams().stream().map(ToolsConfig.Team::name).toList().indexOf(owner);
        if (!exchange.getRequestPath().equals(config.path())) {
            exchange.setStatusCode(404).endExchange();
        } else if (teamIndex < 0) {
            exchange.setStatusCode(403).endExchange();
        } else if (!acceptsRequests()) {
            exchange.setStatusCode(503).endExchange();
        } else {
            WebSocketConnectionCallback onUpgrade = (upgrade, channel) -> openSession(channel, teamIndex);
            listener.onUpgraded(exchange); // no idle timeout: a session may be quiet for any length of time
            new WebSocketProtocolHandshakeHandler(onUpgrade).handleRequest(exchange);
        }
    }

    private void openSession(WebSocketChannel channel, int teamIndex) {
        Session session = new Session(channel, teamIndex, this);
        sessions.add(session);
        channels.add(channel);
        channel.addCloseTask(closed -> {
            sessions.remove(session);
            channels.remove(closed);
            session.onClosed();
        });
        channel.getReceiveSetter().set(new AbstractReceiveListener() {
            @Override
            protected long getMaxTextBufferSize() {
                return MAX_MESSAGE_BYTES;
            }

            @Override
            protected long getMaxBinaryBufferSize() {
                return 0;
            }

            @Override
            protected void onFullTextMessage(WebSocketChannel source, BufferedTextMessage message) {
                session.onMessage(message.getData());
            }

            @Override
            protected void onFullBinaryMessage(WebSocketChannel source, BufferedBinaryMessage message) {
                message.getData().free();
                WebSockets.sendClose(new CloseMessage(CloseMessage.WRONG_CODE, "text frames only"), source, null);
            }
        });
        channel.resumeReceives();
    }

    @Override
    public RequestHandle dispatch(Session session, int teamIndex, RpcMessage message, Session.PendingRequest pending) {
        switch (message.method()) {
            case "tools/call" -> {
                return toolMethods.call(message, teamIndex, pending);
            }
            case "answers/stream" -> {
                return answerMethods.start(message, config.teams().get(teamIndex).name(), pending);
            }
            case "tools/list" -> pending.finish(result(pending, toolMethods.list()));
            case "ping" -> pending.finish(result(pending, "{}"));
            default -> pending.finish(RpcError.NO_METHOD.answer(pending.id));
        }
        return null;
    }

    private static String result(Session.PendingRequest pending, String value) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"result\":" + value + "}";
    }

    @Override
    public boolean acceptsRequests() {
        return lifecycle.phase().acceptsRequests() && lifecycle.phase() != Phase.STARTING;
    }

    /** Returns the number of requests that wait for their final answer. */
    public int openRequests() {
        return sessions.stream().mapToInt(Session::openRequests).sum();
    }

    /** Sends a close frame to all clients; for a program that is about to stop. */
    public void close() {
        for (WebSocketChannel channel : List.copyOf(channels)) {
            WebSockets.sendClose(new CloseMessage(CloseMessage.GOING_AWAY, "stopping"), channel, null);
        }
    }
}
