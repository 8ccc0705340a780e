package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** Keeps connections to engines and other servers for reuse. The pool never sends a request twice. */
public final class ConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);
    /** Share of the peer's idle timeout for which a connection is kept. */
    private static final double IDLE_LIFETIME_SHARE = 0.5;
    /** Limit on connections being established to one address; one that never responds must not take all of them. */
    private static final int MAX_CONNECTING = 24;
    /** Connections above the limit, for calls that carry no client's request. */
    private static final int RESERVED_CONNECTIONS = 8;
    private static final double SWEEP_INTERVAL_MS = 1_000;
    /** Pause between two connection attempts while this machine cannot connect. */
    private static final double LOCAL_FAULT_PAUSE_MS = 20;
    private static final double LOCAL_FAULT_LOG_INTERVAL_MS = 1_000;
    /**
     * Longest time for which received input may be unread when an attempt starts; above it, the input is read first. A
     * notice that the engine drains may be part of that input, so this time has to be short beside the grace period of
     * a drain.
     */
    private static final double MAX_UNREAD_MS = 75;
    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final double maxIdleMs;
    private final double connectTimeoutMs;
    private final int maxConnections;
    private final Map<InetSocketAddress, ArrayDeque<PooledConnection>> idleByAddress = new HashMap<>();
    private final Map<InetSocketAddress, Integer> connecting = new HashMap<>();
    private final Map<InetSocketAddress, ArrayDeque<Call>> queuedByAddress = new HashMap<>();
    private final Set<PooledConnection> connections = new HashSet<>();
    private int totalConnecting;
    private boolean sweeping;
    private double localFaultPauseUntilMs = Double.NEGATIVE_INFINITY;
    private double lastFaultLogMs = Double.NEGATIVE_INFINITY;
    private Connector connector;

    /** Opens connections; by default they are opened on the thread of the loop. */
    interface Connector {
        IoFuture<StreamConnection> connect(InetSocketAddress address);
    }

    /**
     * Creates a pool.
     *
     * @param connIdleMs idle time after which the peer closes a connection
     * @param connectTimeoutMs longest time that a call waits for its connection
     * @param maxConnections limit on open connections, above which some are reserved for urgent calls
     */
    public ConnectionPool(XnioLoop loop, ByteBufferPool buffers, double connIdleMs, double connectTimeoutMs,
            int maxConnections) {
        this.loop = loop;
        this.buffers = buffers;
        this.maxIdleMs = connIdleMs * IDLE_LIFETIME_SHARE;
        this.connectTimeoutMs = connectTimeoutMs;
        this.maxConnections = maxConnections;
        this.connector = address -> loop.thread().openStreamConnection(address, null, SOCKET_OPTIONS);
    }

    /** Replaces the way in which connections are opened, for tests that make it fail. */
    void setConnector(Connector connector) {
        this.connector = connector;
    }

    /** Starts a request. The handler is notified only after this method has returned. */
    public Call start(InetSocketAddress address, ClientRequest request, byte[] body, ResponseHandler handler) {
        boolean urgent = !request.getMethod().equals(Methods.POST);
        return start(address, new Call(this, () -> request, body, () -> true, handler, urgent));
    }

    /** Starts a request on a new connection, for use when the idle ones may have stopped responding. */
    Call startOnNewConnection(InetSocketAddress address, ClientRequest request, byte[] body, ResponseHandler handler) {
        Call call = new Call(this, () -> request, body, () -> true, handler, true);
        call.requireNewConnection();
        return start(address, call);
    }

    /**
     * Starts a request whose head is built only once there is a connection for it. If the call has to wait for one,
     * {@code mayStart} is called right before the first byte is written; false aborts the call.
     */
    public Call start(InetSocketAddress address, Supplier<ClientRequest> request, byte[] body, BooleanSupplier mayStart,
            ResponseHandler handler) {
        return start(address, new Call(this, request, body, mayStart, handler, false));
    }

    private Call start(InetSocketAddress address, Call call) {
        if (call.urgent() || loop.nowMs() - loop.inputArrivedAfterMs() < MAX_UNREAD_MS) startOrQueue(address, call);
        else startAfterInput(address, call);
        return call;
    }

    /**
     * Guards against a loop that has fallen behind: a notice that this engine drains, or the client's disconnect, may
     * have arrived and not been read yet.
     */
    private void startAfterInput(InetSocketAddress address, Call call) {
        call.markDelayed();
        loop.runAfterInput(() -> {
            if (!call.done()) startOrQueue(address, call);
        });
    }

    private void startOrQueue(InetSocketAddress address, Call call) {
        if (!tryStart(address, call)) {
            ArrayDeque<Call> queue = queuedByAddress.computeIfAbsent(address, t -> new ArrayDeque<>());
            // Guards against a release that waits behind a burst of reads until the state that it frees exceeds its pin
            // limit.
            if (call.urgent()) queue.addFirst(call);
            else queue.addLast(call);
            call.awaitConnection(
                    loop.schedule(call.connectDeadlineMs(loop.nowMs() + connectTimeoutMs), () -> failAfterInput(call)),
                    () -> {});
            if (inLocalFaultPause()) call.markLocalFault();
        }
    }

    /** Starts a call on an idle or a new connection; returns false if it has to wait for one. */
    private boolean tryStart(InetSocketAddress address, Call call) {
        PooledConnection available = call.requiresNewConnection() ? null : takeIdle(address);
        if (available != null) {
            call.attach(available);
        } else if (inLocalFaultPause() || connecting.getOrDefault(address, 0) >= MAX_CONNECTING || !makeRoom(call)) {
            return false;
        } else {
            connect(address, call);
        }
        return true;
    }

    /**
     * Starts queued calls to an address. Guards against a burst of requests, as after a restart: if calls failed at
     * once for lack of a connection, each request would use up its attempts on engines whose connections are still
     * being established.
     */
    private void startQueued(InetSocketAddress address) {
        ArrayDeque<Call> queue = queuedByAddress.get(address);
        if (queue == null) return;
        queue.removeIf(Call::done);
        // Calls are removed before they start: a call that starts may end other calls, whose releases are then put at
        // the front of this queue.
        for (Call call = queue.pollFirst(); call != null; call = queue.pollFirst()) {
            if (call.done() || tryStart(address, call)) continue;
            queue.addFirst(call);
            return;
        }
        queuedByAddress.remove(address, queue);
    }

    /**
     * Fails a call that still has no connection. Guards against a loop that has fallen behind: connections that have
     * been established by now are handled first.
     */
    private void failAfterInput(Call call) {
        loop.runAfterInput(call::failIfUnconnected);
    }

    /**
     * Returns the most recently used idle connection that has been quiet since, or null. Guards against a surplus
     * response right after the previous one, which would be mistaken for the response to the next request.
     */
    private PooledConnection takeIdle(InetSocketAddress address) {
        ArrayDeque<PooledConnection> idleConnections = idleByAddress.get(address);
        if (idleConnections == null) return null;
        for (Iterator<PooledConnection> fromNewest = idleConnections.descendingIterator(); fromNewest.hasNext();) {
            PooledConnection connection = fromNewest.next();
            double idleForMs = loop.nowMs() - connection.idleSinceMs;
            if (!connection.hasSettled(loop.nowMs()) && connection.isOpen()) continue;
            fromNewest.remove();
            if (idleForMs < maxIdleMs && connection.checkQuiet()) return connection;
            connection.close();
        }
        return null;
    }

    /** Closes the idle connections to an address, for use when they may have stopped responding. */
    void closeIdle(InetSocketAddress address) {
        ArrayDeque<PooledConnection> idleConnections = idleByAddress.remove(address);
        if (idleConnections != null) idleConnections.forEach(PooledConnection::close);
    }

    /**
     * Returns true if a connection may be opened, closing the one that has been idle longest if necessary. Guards
     * against more connections than the descriptor limit allows. A watch or a release may exceed the limit, as attempts
     * at engines that hang may hold all other connections.
     */
    private boolean makeRoom(Call call) {
        if (connections.size() + totalConnecting < maxConnections + (call.urgent() ? RESERVED_CONNECTIONS : 0))
            return true;
        ArrayDeque<PooledConnection> longestIdle = idleByAddress.values().stream()
                .filter(idleConnections -> !idleConnections.isEmpty())
                .min(Comparator.comparingDouble(idleConnections -> idleConnections.peekFirst().idleSinceMs))
                .orElse(null);
        if (longestIdle == null) return false;
        longestIdle.pollFirst().close();
        return true;
    }

    private void connect(InetSocketAddress address, Call call) {
        connecting.merge(address, 1, Integer::sum);
        totalConnecting++;
        IoFuture<StreamConnection> pendingConnection = connector.connect(address);
        // Cancelling closes the connection: one that is never established would hold a descriptor for minutes.
        call.awaitConnection(
                loop.schedule(call.connectDeadlineMs(loop.nowMs() + connectTimeoutMs), () -> failAfterInput(call)),
                pendingConnection::cancel);
        pendingConnection.addNotifier((future, attachment) -> loop.execute(() -> onConnected(address, call, future)),
                null);
    }

    private void onConnected(InetSocketAddress address, Call call, IoFuture<? extends StreamConnection> future) {
        connecting.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
        totalConnecting--;
        StreamConnection stream;
        try {
            stream = future.get();
        } catch (IOException e) {
            if (ConnectFault.isLocal(e) && !call.done()) retryConnect(address, call, e);
            else call.fail(); // refused or unreachable, or the call is already done
            startQueued(address);
            return;
        } catch (RuntimeException e) {
            call.fail(); // cancelled, so the call is already done
            startQueued(address);
            return;
        }
        PooledConnection connection = new PooledConnection(address, stream);
        connections.add(connection);
        stream.getCloseSetter().set(closed -> {
            connections.remove(connection);
            if (!queuedByAddress.isEmpty()) loop.execute(this::startAllQueued);
        });
        if (call.done()) putIdle(connection, ResponseHandler.DEFAULT_QUIET_MS);
        else call.attach(connection);
        startQueued(address);
    }

    /**
     * Keeps a call at the front of its queue after a fault of this machine, within its connect deadline. Guards against
     * requests that use up their attempts, and healthy engines that are ejected, during a short shortage of local
     * resources.
     */
    private void retryConnect(InetSocketAddress address, Call call, IOException fault) {
        double nowMs = loop.nowMs();
        if (nowMs - lastFaultLogMs >= LOCAL_FAULT_LOG_INTERVAL_MS) {
            lastFaultLogMs = nowMs;
            LOG.warn("cannot connect to {}: {}", address, fault.getMessage());
        }
        call.markLocalFault();
        queuedByAddress.computeIfAbsent(address, t -> new ArrayDeque<>()).addFirst(call);
        if (!inLocalFaultPause()) loop.schedule(nowMs + LOCAL_FAULT_PAUSE_MS, this::startAllQueued);
        localFaultPauseUntilMs = nowMs + LOCAL_FAULT_PAUSE_MS;
    }

    /** Returns true while connection attempts are paused after a local fault. */
    private boolean inLocalFaultPause() {
        return loop.nowMs() < localFaultPauseUntilMs;
    }

    /** Starts queued calls to all addresses, once no pause after a local fault is in force. */
    private void startAllQueued() {
        if (inLocalFaultPause()) loop.schedule(localFaultPauseUntilMs, this::startAllQueued);
        else List.copyOf(queuedByAddress.keySet()).forEach(this::startQueued);
    }

    /**
     * Keeps a connection that is not in use for later calls.
     *
     * @param quietMs for how long it must be quiet before it is used again
     */
    void putIdle(PooledConnection connection, double quietMs) {
        connection.markIdle(loop.nowMs(), quietMs);
        idleByAddress.computeIfAbsent(connection.address, t -> new ArrayDeque<>()).addLast(connection);
        if (queuedByAddress.containsKey(connection.address))
            loop.schedule(loop.nowMs() + quietMs, () -> startQueued(connection.address));
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::sweep);
        sweeping = true;
    }

    /**
     * Closes connections that have been idle for too long. Guards against writing to a connection that the peer is
     * about to close, which would end in a reset.
     */
    private void sweep() {
        for (ArrayDeque<PooledConnection> idleConnections : idleByAddress.values()) {
            idleConnections.removeIf(connection -> {
                boolean expired = !connection.isOpen() || loop.nowMs() - connection.idleSinceMs >= maxIdleMs;
                if (expired) connection.close();
                return expired;
            });
        }
        idleByAddress.values().removeIf(ArrayDeque::isEmpty);
        startAllQueued();
        sweeping = !idleByAddress.isEmpty();
        if (sweeping) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Returns the number of connections that are open or being established. */
    int connectionCount() {
        return connections.size() + totalConnecting;
    }

    XnioLoop loop() {
        return loop;
    }

    ByteBufferPool buffers() {
        return buffers;
    }
}
