package maplerail.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import maplerail.core.EventLoop;
import maplerail.core.ServiceCounters;
import maplerail.front.ClientConnection.State;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Tracks all client connections of one listener, with the state of each and since when it is in it. Closes connections
 * that send nothing or that start a request and don't complete it, and makes room by closing those that have been idle
 * for long. Guards against clients that hold a file descriptor without using it: when none is free, no other client
 * and no engine can be reached.
 */
public final class ClientListener implements ChannelListener<StreamConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** Within this time of the connection's start, or of a later request's first byte, a request must be complete. */
    static final double RECEIVE_TIMEOUT_MS = 2_500;
    /**
     * Time without a byte after which a request counts as stalled that may take longer than {@link #RECEIVE_TIMEOUT_MS}
     * and has exceeded it.
     */
    private static final double STALL_TIMEOUT_MS = 1_000;
    private static final double MIN_IDLE_MS = 2_000; // for which a client may rely on an idle connection
    /** For a new connection while few slots are free, and for an idle one while none is. */
    private static final double SILENT_TIMEOUT_MS = 200;
    /** For a new connection while no slot is free: a client's first request arrives with its connection. */
    private static final double FULL_SILENT_TIMEOUT_MS = 50;
    private static final double FULL_STALL_TIMEOUT_MS = 250; // for an incomplete request, while no slot is free
    private static final double IDLE_TIMEOUT_MS = 30_000;
    private static final double CHECK_INTERVAL_MS = 50;
    private static final double BACKLOG_DRAIN_MS = 100; // to empty the backlog once accept works again
    private static final byte[] REQUEST_TIMEOUT_RESPONSE = ("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
            + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final int RESERVED_DIVISOR = 8; // one in 8 slots is kept free by closing idle connections
    /**
     * The listener counts as full with at most one slot in 32 free: no new client gets in, so any idle connection may
     * have to be closed.
     */
    private static final int FULL_DIVISOR = 32;

    /** Why the gateway closed a client's connection, or kept it open after all. */
    private enum Closed {
        SAID_NOTHING, REQUEST_INCOMPLETE, NOT_CLOSED_BY_CLIENT, IDLE_TOO_LONG, ROOM_SHORT, SHUTTING_DOWN, HEARD_IN_TIME
    }

    private final ChannelListener<StreamConnection> httpListener;
    private final EventLoop loop;
    private final int maxConnections;
    private final ServiceCounters counters;
    private final Map<StreamConnection, ClientConnection> clients = new LinkedHashMap<>();
    private boolean checkScheduled;
    /** When accept last failed, and since when it had been failing. */
    private double acceptFailedMs = Double.NEGATIVE_INFINITY;
    private double acceptFailingSinceMs;
    private final ConnectionBurst burst = new ConnectionBurst();
    /** Guards against clients that connect again at once: accepted connections are handled before any input is read. */
    private final RequestThrottle throttle;

    /**
     * Records that accept has been failing since {@code sinceMs} and is about to be retried: a connection that is
     * accepted now, or soon after, while the backlog empties, may have waited since then.
     */
    public void acceptFailed(double sinceMs) {
        acceptFailingSinceMs = sinceMs;
        acceptFailedMs = loop.nowMs();
    }

    /** Returns the time before which a connection that is accepted now had not been made. */
    private double connectedSinceMs() {
        double nowMs = loop.nowMs();
        double sinceMs = burst.recordAccept(nowMs, loop.connectionsArrivedAfterMs());
        return nowMs - acceptFailedMs < BACKLOG_DRAIN_MS ? Math.min(sinceMs, acceptFailingSinceMs) : sinceMs;
    }

    /** Returns the time before which no byte of the exchange's request was sent. */
    public double earliestSentMs(HttpServerExchange exchange) {
        ClientConnection client = find(exchange);
        return client == null ? loop.nowMs() : Math.min(loop.nowMs(), client.arrivals.notBeforeMs());
    }

    /**
     * Creates a listener in front of the HTTP server's own.
     *
     * @param httpListener the HTTP server's listener, which handles each connection
     * @param maxConnections the largest number of connections that should be open at once
     */
    public ClientListener(ChannelListener<StreamConnection> httpListener, EventLoop loop, int maxConnections,
            ServiceCounters counters) {
        this.httpListener = httpListener;
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.counters = counters;
        this.throttle = new RequestThrottle(loop);
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        ClientConnection client = new ClientConnection();
        client.sinceMs = loop.nowMs();
        clients.put(connection, client);
        StreamSourceConduit source = connection.getSourceChannel().getConduit();
        client.source = new ArrivalConduit(source, loop, client.arrivals, connectedSinceMs(),
                () -> onBytesRead(client));
        connection.getSourceChannel().setConduit(client.source);
        if (!checkScheduled) loop.schedule(loop.nowMs() + CHECK_INTERVAL_MS, this::checkConnections);
        checkScheduled = true;
        if (throttle.tryHandleNow()) {
            startReading(connection, client);
        } else {
            client.state = State.QUEUED;
            throttle.execute(() -> startReading(connection, client));
        }
    }

    private void startReading(StreamConnection connection, ClientConnection client) {
        client.state = State.SILENT;
        httpListener.handleEvent(connection);
        connection.setCloseListener(this::forget); // in addition to the HTTP server's own listener
        if (!connection.isOpen()) forget(connection);
    }

    private void forget(StreamConnection connection) {
        ClientConnection client = clients.remove(connection);
        if (client != null) client.endRequest();
    }

    /** Records that bytes were read: a connection on which a request is arriving does not count as idle. */
    private void onBytesRead(ClientConnection client) {
        client.lastByteMs = loop.nowMs();
        onRequestStarted(client);
    }

    private void onRequestStarted(ClientConnection client) {
        // On a new connection the timeout runs from its start: a client may send one byte at a time.
        if (client.state == State.IDLE) client.sinceMs = loop.nowMs();
        if (client.state == State.IDLE || client.state == State.SILENT) client.state = State.RECEIVING;
    }

    /**
     * Records that the head of a request is complete. The connection is idle again once the request is answered to the
     * last byte, unless pipelined bytes follow it: the server may hold the whole next request already, in which
     * case no further byte need arrive.
     */
    public void onRequestHead(HttpServerExchange exchange) {
        ClientConnection starting = find(exchange);
        if (starting != null) onRequestStarted(starting);
        exchange.addExchangeCompleteListener((completed, proceed) -> {
            setState(completed, completed.isPersistent() ? State.IDLE : State.ENDING);
            ClientConnection client = find(completed);
            if (client != null) onRequestCompleted(client, completed);
            proceed.proceed();
        });
    }

    private void onRequestCompleted(ClientConnection client, HttpServerExchange exchange) {
        client.endRequest();
        int unread = unreadBytes((HttpServerConnection) exchange.getConnection());
        client.arrivals.requestEnded(unread);
        if (client.state == State.ENDING) client.source.discardInput();
        if (unread == 0 || !exchange.isPersistent()) return;
        client.lastByteMs = loop.nowMs();
        onRequestStarted(client);
    }

    /** Returns the number of bytes that the server holds of requests after the current one. */
    private static int unreadBytes(HttpServerConnection connection) {
        PooledByteBuffer extra = connection.getExtraBytes();
        return extra == null ? 0 : extra.getBuffer().remaining();
    }

    /** Sets what sees all bytes that are read from the exchange's client, until the request is complete; null for nothing. */
    public void setInputTap(HttpServerExchange exchange, InputTap tap) {
        ClientConnection client = find(exchange);
        if (client != null) client.source.setTap(tap);
    }

    /** Records that the last bytes that were read from a client are not kept. */
    public void onBytesDropped(HttpServerConnection connection, int count) {
        ClientConnection client = clients.get(connection.getChannel());
        if (client != null) client.arrivals.discardLast(count);
    }

    /** Records that a request waits to be handled: however long that takes, its client has not stalled. */
    public void onQueued(HttpServerExchange exchange) {
        ClientConnection client = find(exchange);
        if (client != null && client.state == State.RECEIVING) client.state = State.QUEUED;
    }

    /** Records that a request that waited is handled now: the rest of it may arrive. */
    public void onDequeued(HttpServerExchange exchange) {
        ClientConnection client = find(exchange);
        if (client == null || client.state != State.QUEUED) return;
        client.state = State.RECEIVING;
        client.lastByteMs = loop.nowMs();
    }

    /** Records for how long a client waits: a body that keeps arriving after a valid head may take that long. */
    public void extendReceiveTimeout(HttpServerExchange exchange, double budgetMs) {
        ClientConnection client = find(exchange);
        if (client != null) client.receiveTimeoutMs = Math.max(RECEIVE_TIMEOUT_MS, budgetMs);
    }

    /** Sets what is run once the request's exchange is complete or its connection is closed. */
    public void setRequestEndAction(HttpServerExchange exchange, Runnable action) {
        ClientConnection client = find(exchange);
        if (client != null) client.requestEndAction = action;
    }

    /** Records that a request is answered before it is complete: for a while, its client may send the rest. */
    public void onRejected(HttpServerExchange exchange) {
        setState(exchange, State.ENDING);
    }

    /** Records that a request is complete: its connection stays open until it is answered. */
    public void onRequestReceived(HttpServerExchange exchange) {
        setInputTap(exchange, null);
        setState(exchange, State.IN_FLIGHT);
    }

    /** Records that the connection no longer carries HTTP requests: the protocol that took it over manages it. */
    public void onUpgraded(HttpServerExchange exchange) {
        setState(exchange, State.UPGRADED);
        ClientConnection client = find(exchange);
        if (client != null) client.arrivals.stop();
    }

    private void setState(HttpServerExchange exchange, State state) {
        ClientConnection client = find(exchange);
        if (client == null || client.state == State.UPGRADED) return;
        client.state = state;
        client.sinceMs = loop.nowMs();
        client.receiveTimeoutMs = RECEIVE_TIMEOUT_MS;
    }

    private ClientConnection find(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        return connection instanceof HttpServerConnection http ? clients.get(http.getChannel()) : null;
    }

    private void checkConnections() {
        double nowMs = loop.nowMs();
        Map<StreamConnection, Closed> expired = new LinkedHashMap<>();
        clients.forEach((connection, client) -> {
            double ageMs = nowMs - client.sinceMs;
            boolean timedOut = switch (client.state) {
                case SILENT, ENDING -> ageMs >= RECEIVE_TIMEOUT_MS;
                case RECEIVING -> ageMs >= client.receiveTimeoutMs
                        || ageMs >= RECEIVE_TIMEOUT_MS && nowMs - client.lastByteMs >= STALL_TIMEOUT_MS;
                case IDLE -> ageMs >= IDLE_TIMEOUT_MS;
                default -> false;
            };
            if (timedOut) expired.put(connection, timeoutReason(client.state));
        });
        expired.forEach(this::closeUnlessRequestArrived);
        makeRoom(nowMs);
        checkScheduled = !clients.isEmpty();
        if (checkScheduled) loop.schedule(nowMs + CHECK_INTERVAL_MS, this::checkConnections);
    }

    /**
     * Closes a connection unless a request has arrived on it by now. Guards against a loop that was stalled: timers run
     * before arrived bytes are read, and closing with bytes unread would lose a request that is already there.
     */
    private void closeUnlessRequestArrived(StreamConnection connection, Closed reason) {
        ClientConnection client = clients.get(connection);
        State state = client.state;
        double sinceMs = client.sinceMs;
        closeAfterInput(connection, reason, () -> client.state == state && client.sinceMs == sinceMs);
    }

    /** Closes a connection to make room, unless a byte has arrived on it by now. */
    private void closeForRoomIfQuiet(StreamConnection connection) {
        ClientConnection client = clients.get(connection);
        State state = client.state;
        double quietSinceMs = client.quietSinceMs();
        closeAfterInput(connection, Closed.ROOM_SHORT,
                () -> client.state == state && client.quietSinceMs() == quietSinceMs);
    }

    private void closeAfterInput(StreamConnection connection, Closed reason, BooleanSupplier unchanged) {
        loop.runAfterInput(() -> {
            if (!clients.containsKey(connection)) return;
            boolean closes = unchanged.getAsBoolean();
            counters.count(closes ? reason : Closed.HEARD_IN_TIME);
            if (closes) closeConnection(connection);
        });
    }

    private static Closed timeoutReason(State state) {
        return switch (state) {
            case SILENT -> Closed.SAID_NOTHING;
            case RECEIVING -> Closed.REQUEST_INCOMPLETE;
            case ENDING -> Closed.NOT_CLOSED_BY_CLIENT;
            default -> Closed.IDLE_TOO_LONG;
        };
    }

    private void closeConnection(StreamConnection connection) {
        if (clients.get(connection).state == State.RECEIVING) {
            try {
                connection.getSinkChannel().write(ByteBuffer.wrap(REQUEST_TIMEOUT_RESPONSE));
            } catch (IOException e) {
                LOG.debug("cannot write the 408 response to a client", e); // the connection is closed next
            }
        }
        IoUtils.safeClose(connection);
    }

    /**
     * While few slots are free, closes connections that are ending, silent ones, then idle ones. While no slot is free, closes all that are
     * silent or have stalled within a request: requests may wait behind them in the kernel's backlog, and their
     * deadlines are running.
     */
    private void makeRoom(double nowMs) {
        int excess = clients.size() - (maxConnections - maxConnections / RESERVED_DIVISOR);
        if (excess <= 0) return;
        boolean full = clients.size() >= maxConnections - maxConnections / FULL_DIVISOR;
        int closed = closeLongestQuiet(State.ENDING, FULL_STALL_TIMEOUT_MS, excess, nowMs);
        closed += full ? closeLongestQuiet(State.SILENT, FULL_SILENT_TIMEOUT_MS, clients.size(), nowMs)
                : closeLongestQuiet(State.SILENT, SILENT_TIMEOUT_MS, excess - closed, nowMs);
        if (full) closed += closeLongestQuiet(State.RECEIVING, FULL_STALL_TIMEOUT_MS, clients.size(), nowMs);
        closeLongestQuiet(State.IDLE, full ? SILENT_TIMEOUT_MS : MIN_IDLE_MS, excess - closed, nowMs);
    }

    /** Closes up to {@code maxCount} connections in a state, those quiet for longest first, and returns how many. */
    private int closeLongestQuiet(State state, double minQuietMs, int maxCount, double nowMs) {
        List<StreamConnection> candidates = clients.entrySet().stream()
                .filter(e -> e.getValue().state == state
                        && ProtocolRules.checkClose(false, nowMs - e.getValue().quietSinceMs(),
                                minQuietMs) == Reason.ALLOWED)
                .sorted((a, b) -> Double.compare(a.getValue().quietSinceMs(), b.getValue().quietSinceMs()))
                .limit(Math.max(0, maxCount)).map(Map.Entry::getKey).toList();
        candidates.forEach(this::closeForRoomIfQuiet);
        return candidates.size();
    }

    /** Closes the connections on which no request is open or arriving; for a program that is about to stop. */
    public void closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        clients.forEach((connection, client) -> {
            boolean inUse = client.state != State.IDLE && client.state != State.SILENT;
            if (ProtocolRules.checkClose(inUse, 0, 0) == Reason.ALLOWED) idle.add(connection);
        });
        idle.stream().filter(StreamConnection::isOpen).forEach(connection -> {
            counters.count(Closed.SHUTTING_DOWN);
            IoUtils.safeClose(connection);
        });
    }

    /** Closes all connections: shutting down the worker alone would leave them open. */
    public void close() {
        List.copyOf(clients.keySet()).forEach(IoUtils::safeClose);
    }

    /** Returns the number of connections on which a request is open or arriving, or the last answer on its way. */
    public int activeConnections() {
        return (int) clients.entrySet().stream()
                .filter(e -> e.getKey().isOpen() && e.getValue().isActive(loop.nowMs()))
                .count();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return (int) clients.keySet().stream().filter(StreamConnection::isOpen).count();
    }
}
