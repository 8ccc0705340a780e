package maplerail.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import maplerail.core.Loop;
import maplerail.core.ServiceCounters;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.Reason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Every connection that clients have open at one listener, and since when each is what it is. Ends those that say
 * nothing, or begin a request and don't end it, and makes room by ending those that have long been idle. Guards
 * against clients that hold a descriptor for nothing: without one no other client and no engine can be reached.
 */
public final class ClientListener implements ChannelListener<StreamConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** From the connection's start, or its request's first byte, until the request must be whole. */
    private static final double ARRIVE_MS = 2_500;
    /** Without a byte, after which a request that may take longer has stopped. */
    private static final double STALLED_MS = 1_000;
    private static final double IDLE_MS = 2_000; // for which a client may rely on an idle connection
    private static final double SILENT_MS = 200; // for which a new one may be silent while room is short
    private static final double FULL_SILENT_MS = 50; // and while there is none: with it, its first request comes
    private static final double FULL_STALLED_MS = 250; // after which one that stopped within a request is ended then
    private static final double LONG_IDLE_MS = 30_000;
    private static final double LOOK_MS = 50;
    private static final double BACKLOG_MS = 100; // in which the backlog has emptied once accept works again
    private static final byte[] TOO_LATE = ("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
            + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final int ROOM_PART = 8; // of the places: kept free by ending what is idle
    private static final int FULL_PART = 32; // with fewer left nobody new gets in: any idle one may have to go

    private enum State { SILENT, ARRIVING, WAITING, OPEN, IDLE, KEPT }

    private static final Set<State> BUSY = EnumSet.of(State.ARRIVING, State.WAITING, State.OPEN);

    /** Why the gateway ended a client's connection, or left it open after all. */
    private enum Closed {
        SAID_NOTHING, REQUEST_INCOMPLETE, IDLE_TOO_LONG, ROOM_SHORT, SHUTTING_DOWN, HEARD_IN_TIME
    }

    private final ChannelListener<StreamConnection> next;
    private final Loop loop;
    private final int most;
    private final ServiceCounters counters;
    private final Map<StreamConnection, Tracked> tracked = new LinkedHashMap<>();
    private boolean looking;
    /** When accept last failed, and since when it had. */
    private double acceptFailedMs = Double.NEGATIVE_INFINITY;
    private double acceptFailingSinceMs;
    private final ConnectionBurst burst = new ConnectionBurst();

    private static final class Tracked {
        State state = State.SILENT;
        double sinceMs;
        final ArrivalLog arrivals = new ArrivalLog();
        /** When the last bytes came, and for how long the request that is arriving may go on if more keep coming. */
        double heardMs;
        double arriveMs = ARRIVE_MS;

        /** Since when it has been in its state with no byte from its client. */
        double quietSinceMs() {
            return Math.max(sinceMs, heardMs);
        }
    }

    /**
     * Accept has failed since some time and is about to be tried again: whoever comes in now, or soon, while the
     * backlog empties, may have waited since then.
     */
    public void acceptFailed(double sinceMs) {
        acceptFailingSinceMs = sinceMs;
        acceptFailedMs = loop.nowMs();
    }

    /** A connection that comes in now had not been made by this time. */
    private double connectedSinceMs() {
        double now = loop.nowMs();
        double sinceMs = burst.notBeforeMs(now, loop.connectionsArrivedAfterMs());
        return now - acceptFailedMs < BACKLOG_MS ? Math.min(sinceMs, acceptFailingSinceMs) : sinceMs;
    }

    /** Before this time not a byte of a request had been sent. */
    public double sentMs(HttpServerExchange exchange) {
        Tracked client = find(exchange);
        return client == null ? loop.nowMs() : Math.min(loop.nowMs(), client.arrivals.notBeforeMs());
    }

    /** A listener before the HTTP server's own, through which at most so many connections should be at once. */
    public ClientListener(ChannelListener<StreamConnection> next, Loop loop, int most, ServiceCounters counters) {
        this.next = next;
        this.loop = loop;
        this.most = most;
        this.counters = counters;
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        Tracked client = new Tracked();
        client.sinceMs = loop.nowMs();
        tracked.put(connection, client);
        StreamSourceConduit source = connection.getSourceChannel().getConduit();
        connection.getSourceChannel().setConduit(
                new ArrivalConduit(source, loop, client.arrivals, connectedSinceMs(), () -> came(client)));
        if (!looking) loop.schedule(loop.nowMs() + LOOK_MS, this::look);
        looking = true;
        next.handleEvent(connection);
    }

    /** Bytes were read: a connection with a request on its way does not count as idle. */
    private void came(Tracked client) {
        client.heardMs = loop.nowMs();
        begun(client);
    }

    private void begun(Tracked client) {
        // A new connection's time to get its request in runs from its start: it may be fed a byte at a time.
        if (client.state == State.IDLE) client.sinceMs = loop.nowMs();
        if (client.state == State.IDLE || client.state == State.SILENT) client.state = State.ARRIVING;
    }

    /**
     * A request's head is whole; its connection is idle again once the request is answered to the last byte, unless
     * more came behind it: no further byte need come then, and the server may have the next request whole already.
     */
    public void entered(HttpServerExchange exchange) {
        Tracked entering = find(exchange);
        if (entering != null) begun(entering);
        exchange.addExchangeCompleteListener((done, proceed) -> {
            set(done, State.IDLE);
            Tracked client = find(done);
            if (client != null) ended(client, done);
            proceed.proceed();
        });
    }

    private void ended(Tracked client, HttpServerExchange exchange) {
        int unread = unread((HttpServerConnection) exchange.getConnection());
        client.arrivals.requestEnded(unread);
        if (unread == 0 || !exchange.isPersistent()) return;
        client.heardMs = loop.nowMs();
        begun(client);
    }

    /** What the server has of the requests behind the present one. */
    private static int unread(HttpServerConnection connection) {
        PooledByteBuffer extra = connection.getExtraBytes();
        return extra == null ? 0 : extra.getBuffer().remaining();
    }

    /** A request that has come waits for its turn: however long that takes, its client has not stopped. */
    public void waits(HttpServerExchange exchange) {
        Tracked client = find(exchange);
        if (client != null && client.state == State.ARRIVING) client.state = State.WAITING;
    }

    /** Its turn has come: what is missing of it may arrive. */
    public void turnCame(HttpServerExchange exchange) {
        Tracked client = find(exchange);
        if (client == null || client.state != State.WAITING) return;
        client.state = State.ARRIVING;
        client.heardMs = loop.nowMs();
    }

    /** A request's head is sound, and its client waits for so long: a body that keeps coming may take that time. */
    public void arriving(HttpServerExchange exchange, double budgetMs) {
        Tracked client = find(exchange);
        if (client != null) client.arriveMs = Math.max(ARRIVE_MS, budgetMs);
    }

    /** A request is whole: its connection stays until it is answered. */
    public void open(HttpServerExchange exchange) {
        set(exchange, State.OPEN);
    }

    /** The connection is no longer one of requests and answers; whoever took it over looks after it. */
    public void keep(HttpServerExchange exchange) {
        set(exchange, State.KEPT);
        Tracked client = find(exchange);
        if (client != null) client.arrivals.stop();
    }

    private void set(HttpServerExchange exchange, State state) {
        Tracked client = find(exchange);
        if (client == null || client.state == State.KEPT) return;
        client.state = state;
        client.sinceMs = loop.nowMs();
        client.arriveMs = ARRIVE_MS;
    }

    private Tracked find(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        return connection instanceof HttpServerConnection http ? tracked.get(http.getChannel()) : null;
    }

    private void look() {
        double now = loop.nowMs();
        tracked.keySet().removeIf(connection -> !connection.isOpen());
        Map<StreamConnection, Closed> ended = new LinkedHashMap<>();
        tracked.forEach((connection, client) -> {
            double age = now - client.sinceMs;
            boolean late = switch (client.state) {
                case SILENT -> age >= ARRIVE_MS;
                case ARRIVING -> age >= client.arriveMs || age >= ARRIVE_MS && now - client.heardMs >= STALLED_MS;
                case IDLE -> age >= LONG_IDLE_MS;
                default -> false;
            };
            if (late) ended.put(connection, lateAs(client.state));
        });
        ended.forEach(this::turnOutUnlessHeard);
        makeRoom(now);
        looking = !tracked.isEmpty();
        if (looking) loop.schedule(now + LOOK_MS, this::look);
    }

    /**
     * Ends a connection unless a request has come on it by now. Guards against a loop that stood still: timers run
     * before what has arrived is read, and a close over unread bytes would lose a request that is already there.
     */
    private void turnOutUnlessHeard(StreamConnection connection, Closed why) {
        Tracked client = tracked.get(connection);
        State state = client.state;
        double sinceMs = client.sinceMs;
        turnOutAfterInput(connection, why, () -> client.state == state && client.sinceMs == sinceMs);
    }

    /** Ends a connection to make room, unless a byte has come on it by now. */
    private void turnOutIfQuiet(StreamConnection connection) {
        Tracked client = tracked.get(connection);
        State state = client.state;
        double quietSinceMs = client.quietSinceMs();
        turnOutAfterInput(connection, Closed.ROOM_SHORT,
                () -> client.state == state && client.quietSinceMs() == quietSinceMs);
    }

    private void turnOutAfterInput(StreamConnection connection, Closed why, BooleanSupplier unchanged) {
        loop.runAfterInput(() -> {
            if (!tracked.containsKey(connection)) return;
            boolean ends = unchanged.getAsBoolean();
            counters.count(ends ? why : Closed.HEARD_IN_TIME);
            if (ends) turnOut(connection);
        });
    }

    private static Closed lateAs(State state) {
        return switch (state) {
            case SILENT -> Closed.SAID_NOTHING;
            case ARRIVING -> Closed.REQUEST_INCOMPLETE;
            default -> Closed.IDLE_TOO_LONG;
        };
    }

    private void turnOut(StreamConnection connection) {
        Tracked client = tracked.remove(connection);
        if (client.state == State.ARRIVING) {
            try {
                connection.getSinkChannel().write(ByteBuffer.wrap(TOO_LATE));
            } catch (IOException e) {
                LOG.debug("a client's connection failed", e); // it is ended next
            }
        }
        IoUtils.safeClose(connection);
    }

    /**
     * While room is short, ends those that say nothing, then those that are idle. With no place left, as many as there
     * are that say nothing or stopped within a request: behind them requests may wait in the system's queue, and their
     * time runs.
     */
    private void makeRoom(double now) {
        int over = tracked.size() - (most - most / ROOM_PART);
        if (over <= 0) return;
        boolean full = tracked.size() >= most - most / FULL_PART;
        int ended = full ? end(State.SILENT, FULL_SILENT_MS, tracked.size(), now)
                : end(State.SILENT, SILENT_MS, over, now);
        if (full) ended += end(State.ARRIVING, FULL_STALLED_MS, tracked.size(), now);
        end(State.IDLE, full ? SILENT_MS : IDLE_MS, over - ended, now);
    }

    /** Ends at most so many that have been in a state with no byte for the longest, and returns how many. */
    private int end(State state, double leastMs, int atMost, double now) {
        List<StreamConnection> longest = tracked.entrySet().stream()
                .filter(e -> e.getValue().state == state
                        && ProtocolRules.checkClose(false, now - e.getValue().quietSinceMs(),
                                leastMs) == Reason.ALLOWED)
                .sorted((a, b) -> Double.compare(a.getValue().quietSinceMs(), b.getValue().quietSinceMs()))
                .limit(Math.max(0, atMost)).map(Map.Entry::getKey).toList();
        longest.forEach(this::turnOutIfQuiet);
        return longest.size();
    }

    /** Ends the connections on which nothing is open or on its way, for a program that is about to stop. */
    public void closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        tracked.forEach((connection, client) -> {
            boolean inUse = client.state != State.IDLE && client.state != State.SILENT;
            if (ProtocolRules.checkClose(inUse, 0, 0) == Reason.ALLOWED) idle.add(connection);
        });
        idle.stream().filter(StreamConnection::isOpen).forEach(connection -> {
            counters.count(Closed.SHUTTING_DOWN);
            IoUtils.safeClose(connection);
        });
    }

    /** Ends all connections: the worker's end alone would leave them open. */
    public void close() {
        List.copyOf(tracked.keySet()).forEach(IoUtils::safeClose);
    }

    /** Connections on which a request is open or on its way. */
    public int activeConnections() {
        return (int) tracked.entrySet().stream().filter(e -> e.getKey().isOpen() && BUSY.contains(e.getValue().state))
                .count();
    }

    /** Connections in all. */
    public int connections() {
        return (int) tracked.keySet().stream().filter(StreamConnection::isOpen).count();
    }
}
