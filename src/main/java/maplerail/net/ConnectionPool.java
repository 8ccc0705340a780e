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

/** Connections to engines and other servers, kept while they are fresh. Nothing here sends anything twice. */
public final class ConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);
    private static final double RETIRE_SHARE = 0.5; // of the time after which the far side closes
    private static final double SETTLE_MS = 30; // after an answer, in which what else belongs to it would come
    private static final int MAX_CONNECTING = 24; // to one address: one that never answers must not take all
    private static final int RESERVED = 8; // connections over the limit, for calls that carry no client's request
    private static final double SWEEP_MS = 1_000;
    private static final double FAULT_PAUSE_MS = 20; // between two tries while this machine cannot connect
    private static final double FAULT_LOG_MS = 1_000;
    /** For which what has come may lie unread when an attempt is begun; with the grace of a drain it has to be short. */
    private static final double UNREAD_MS = 75;
    private static final OptionMap OPTIONS = OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final double retireMs;
    private final double connectMs;
    private final int most;
    private final Map<InetSocketAddress, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> connecting = new HashMap<>();
    private final Map<InetSocketAddress, ArrayDeque<Call>> queued = new HashMap<>();
    private final Set<PooledConnection> links = new HashSet<>();
    private int connectingInAll;
    private boolean sweeping;
    private double faultPauseUntilMs = Double.NEGATIVE_INFINITY;
    private double faultToldMs = Double.NEGATIVE_INFINITY;
    private Connector connector;

    /** Opens a connection; the default is that of the loop's thread. */
    interface Connector {
        IoFuture<StreamConnection> connect(InetSocketAddress to);
    }

    /**
     * Makes a pool of at most so many connections, and some reserved ones, which the far side closes after being idle
     * for some time.
     */
    public ConnectionPool(XnioLoop loop, ByteBufferPool buffers, double connIdleMs, double connectTimeoutMs, int most) {
        this.loop = loop;
        this.buffers = buffers;
        this.retireMs = connIdleMs * RETIRE_SHARE;
        this.connectMs = connectTimeoutMs;
        this.most = most;
        this.connector = to -> loop.thread().openStreamConnection(to, null, OPTIONS);
    }

    /** Opens connections in another way from now on, as tests do that make it fail. */
    void connectBy(Connector other) {
        connector = other;
    }

    /** Starts a request; the reply hears of it after this call has returned. */
    public Call start(InetSocketAddress to, ClientRequest request, byte[] body, ResponseHandler reply) {
        boolean urgent = !request.getMethod().equals(Methods.POST);
        return start(to, new Call(this, () -> request, body, () -> true, reply, urgent));
    }

    /** The same on a connection of its own, where kept ones may have fallen silent. */
    Call startOnNewConnection(InetSocketAddress to, ClientRequest request, byte[] body, ResponseHandler reply) {
        Call call = new Call(this, () -> request, body, () -> true, reply, true);
        call.needsNewConnection();
        return start(to, call);
    }

    /**
     * Starts a request whose head is made only once there is a connection for it. If it has to wait for one, it asks
     * before its first byte whether it may still begin; who says no gives the call up.
     */
    public Call start(InetSocketAddress to, Supplier<ClientRequest> request, byte[] body, BooleanSupplier mayBegin,
            ResponseHandler reply) {
        return start(to, new Call(this, request, body, mayBegin, reply, false));
    }

    private Call start(InetSocketAddress to, Call call) {
        if (call.urgent() || loop.nowMs() - loop.inputArrivedAfterMs() < UNREAD_MS) beginOrQueue(to, call);
        else beginAfterInput(to, call);
        return call;
    }

    /**
     * Guards against a loop that is behind: news that this engine drains, or the close of the client, may have come and
     * lie unread.
     */
    private void beginAfterInput(InetSocketAddress to, Call call) {
        call.hasToAsk();
        loop.runAfterInput(() -> {
            if (!call.done()) beginOrQueue(to, call);
        });
    }

    private void beginOrQueue(InetSocketAddress to, Call call) {
        if (!begin(to, call)) {
            ArrayDeque<Call> waiting = queued.computeIfAbsent(to, t -> new ArrayDeque<>());
            // Guards against a release that waits behind a crowd of reads until what it lets go counts as pinned.
            if (call.urgent()) waiting.addFirst(call);
            else waiting.addLast(call);
            call.connecting(loop.schedule(call.connectUntilMs(loop.nowMs() + connectMs), () -> later(call)), () -> {});
            if (faultPause()) call.faultedHere();
        }
    }

    private boolean begin(InetSocketAddress to, Call call) {
        PooledConnection ready = call.wantsNewConnection() ? null : fresh(to);
        if (ready != null) {
            call.on(ready);
        } else if (faultPause() || connecting.getOrDefault(to, 0) >= MAX_CONNECTING || !room(call)) {
            return false;
        } else {
            connect(to, call);
        }
        return true;
    }

    /**
     * Guards against a crowd that comes at once, as after a restart: told at once that it cannot connect, each of
     * its requests would use up its attempts on engines that only wait for their connections to come up.
     */
    private void next(InetSocketAddress to) {
        ArrayDeque<Call> waiting = queued.get(to);
        if (waiting == null) return;
        waiting.removeIf(Call::done);
        // Taken out first: what begins may end other calls, whose releases then come to the front of this queue.
        for (Call first = waiting.pollFirst(); first != null; first = waiting.pollFirst()) {
            if (first.done() || begin(to, first)) continue;
            waiting.addFirst(first);
            return;
        }
        queued.remove(to, waiting);
    }

    /** Guards against a loop that is behind: what has come up by now is seen first. */
    private void later(Call call) {
        loop.runAfterInput(call::failUnconnected);
    }

    /** The last one used that has been quiet since; a second answer right behind the first must not meet a request. */
    private PooledConnection fresh(InetSocketAddress to) {
        ArrayDeque<PooledConnection> kept = idle.get(to);
        if (kept == null) return null;
        for (Iterator<PooledConnection> last = kept.descendingIterator(); last.hasNext();) {
            PooledConnection link = last.next();
            double age = loop.nowMs() - link.idleSinceMs;
            if (age < SETTLE_MS && link.open()) continue;
            last.remove();
            if (age < retireMs && link.quiet()) return link;
            link.close();
        }
        return null;
    }

    /**
     * Guards against more connections than the descriptors allow: the one idle for the longest makes room. A watch or
     * a release gets one beyond that, as attempts at engines that hang may hold all the others.
     */
    private boolean room(Call call) {
        if (links.size() + connectingInAll < most + (call.urgent() ? RESERVED : 0)) return true;
        ArrayDeque<PooledConnection> oldest = idle.values().stream().filter(kept -> !kept.isEmpty())
                .min(Comparator.comparingDouble(kept -> kept.peekFirst().idleSinceMs)).orElse(null);
        if (oldest == null) return false;
        oldest.pollFirst().close();
        return true;
    }

    private void connect(InetSocketAddress to, Call call) {
        connecting.merge(to, 1, Integer::sum);
        connectingInAll++;
        IoFuture<StreamConnection> coming = connector.connect(to);
        // Called off, it is closed: one that never comes up would hold a descriptor for minutes.
        call.connecting(loop.schedule(call.connectUntilMs(loop.nowMs() + connectMs), () -> later(call)),
                coming::cancel);
        coming.addNotifier((future, none) -> loop.execute(() -> connected(to, call, future)), null);
    }

    private void connected(InetSocketAddress to, Call call, IoFuture<? extends StreamConnection> future) {
        connecting.computeIfPresent(to, (address, count) -> count > 1 ? count - 1 : null);
        connectingInAll--;
        StreamConnection connection;
        try {
            connection = future.get();
        } catch (IOException e) {
            if (ConnectFault.isLocal(e) && !call.done()) connectAgain(to, call, e);
            else call.fail(); // refused
            next(to);
            return;
        } catch (RuntimeException e) {
            call.fail(); // called off: then it is done already
            next(to);
            return;
        }
        PooledConnection link = new PooledConnection(to, connection);
        links.add(link);
        connection.getCloseSetter().set(closed -> {
            links.remove(link);
            if (!queued.isEmpty()) loop.execute(this::nextEverywhere);
        });
        if (call.done()) keep(link);
        else call.on(link);
        next(to);
    }

    /**
     * Keeps a call in its place after a fault of this machine, within the time that it has for its connection. Guards
     * against requests that use up their attempts, and sound engines that are ejected, while the system is short of
     * something for a moment.
     */
    private void connectAgain(InetSocketAddress to, Call call, IOException fault) {
        double now = loop.nowMs();
        if (now - faultToldMs >= FAULT_LOG_MS) {
            faultToldMs = now;
            LOG.warn("cannot connect to {}: {}", to, fault.getMessage());
        }
        call.faultedHere();
        queued.computeIfAbsent(to, t -> new ArrayDeque<>()).addFirst(call);
        if (!faultPause()) loop.schedule(now + FAULT_PAUSE_MS, this::nextEverywhere);
        faultPauseUntilMs = now + FAULT_PAUSE_MS;
    }

    /** True while no connect is tried, as the last one failed here. */
    private boolean faultPause() {
        return loop.nowMs() < faultPauseUntilMs;
    }

    private void nextEverywhere() {
        if (faultPause()) loop.schedule(faultPauseUntilMs, this::nextEverywhere);
        else List.copyOf(queued.keySet()).forEach(this::next);
    }

    void keep(PooledConnection link) {
        link.idle(loop.nowMs());
        idle.computeIfAbsent(link.to, t -> new ArrayDeque<>()).addLast(link);
        if (queued.containsKey(link.to)) loop.schedule(loop.nowMs() + SETTLE_MS, () -> next(link.to));
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
        sweeping = true;
    }

    /** Guards against a write on a connection that its far side is about to close: that ends as a reset. */
    private void sweep() {
        for (ArrayDeque<PooledConnection> kept : idle.values()) {
            kept.removeIf(link -> {
                boolean old = !link.open() || loop.nowMs() - link.idleSinceMs >= retireMs;
                if (old) link.close();
                return old;
            });
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        nextEverywhere();
        sweeping = !idle.isEmpty();
        if (sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
    }

    /** Connections that are open or on their way. */
    int open() {
        return links.size() + connectingInAll;
    }

    XnioLoop loop() {
        return loop;
    }

    ByteBufferPool buffers() {
        return buffers;
    }
}
