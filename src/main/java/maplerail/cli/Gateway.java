package maplerail.cli;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import maplerail.Logic;
import maplerail.Router;
import maplerail.config.EngineList;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.core.Quotas;
import maplerail.core.Broker;
import maplerail.core.Budgets;
import maplerail.core.ClientMemory;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.discovery.PlatformWatch;
import maplerail.front.AcceptBackOff;
import maplerail.front.ClientListener;
import maplerail.front.jsonrpc.RpcFront;
import maplerail.front.platform.PlatformFront;
import maplerail.net.EngineClient;
import maplerail.net.ConnectionPool;
import maplerail.net.XnioLoop;
import maplerail.policy.MemoryLimits;
import maplerail.policy.StartRules;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** A gateway process: wires up its components and runs them from start to exit. */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final double ARRIVAL_GRACE_MS = 600; // after the signal to stop, while new requests are still served
    private static final double DRAIN_POLL_MS = 20;
    /** How long the exit waits for releases: as long as a state may be held, plus the slack of the rules on sockets. */
    private static final double RELEASE_GRACE_MS = 800;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024; // of a request
    /** Percentage of the heap for what is held for clients; the rest is for everything else and for the collector. */
    private static final int CLIENT_MEMORY_PERCENT = 40;
    // Shares of the file descriptors; what remains is for connections to engines.
    private static final int HTTP_CLIENT_PERCENT = 55; // for clients of the HTTP front
    private static final int RPC_CLIENT_PERCENT = 10; // for clients of the JSON-RPC front
    private static final int TOOL_SERVER_PERCENT = 10; // for connections to tool servers
    /** File descriptors of the virtual machine, the listeners and the log, and the connections that pools reserve. */
    private static final int RESERVED_SOCKETS = 40;

    private final NodeConfig config;
    private final Lifecycle lifecycle = new Lifecycle();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 512, 0);
    private final Broker broker;
    private final ClientMemory memory;
    private final EngineClient engines;
    private final PlatformFront httpFront;
    private final PlatformWatch watch;
    private final ToolServices tools;
    private final RpcFront rpcFront;
    private final InetSocketAddress rpcListen;
    /** The list from an earlier run, until it may be used; null otherwise. */
    private EngineList unconfirmed;
    private AcceptingChannel<?> httpServer;
    private AcceptingChannel<?> rpcServer;
    private final List<ClientListener> listeners = new ArrayList<>();
    /** When the gateway exits although releases are pending; set once all requests are finished. */
    private double exitByMs = Double.NaN;

    /**
     * Creates a gateway that does not listen yet.
     *
     * @param toolsConfig the configuration of the JSON-RPC front; null if that is off
     */
    public Gateway(NodeConfig config, ToolsConfig toolsConfig) throws IOException {
        this.config = config;
        worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.TCP_NODELAY, true)
                .set(Options.THREAD_DAEMON, false).getMap());
        loop = new XnioLoop(worker.getIoThread());
        boolean toolsEnabled = toolsConfig != null;
        int sockets = config.connections().maxSockets();
        int toolSockets = toolsEnabled ? sockets * (RPC_CLIENT_PERCENT + TOOL_SERVER_PERCENT) / 100 : 0;
        ConnectionPool pool = new ConnectionPool(loop, buffers, config.connections().connIdleMs(),
                config.connections().connectTimeoutMs(),
                sockets - RESERVED_SOCKETS - sockets * HTTP_CLIENT_PERCENT / 100 - toolSockets);
        Router.Settings settings = config.settings();
        Consumer<String> log = line -> LOG.info("{}", line);
        memory = new ClientMemory(
                new MemoryLimits(Runtime.getRuntime().maxMemory() / 100 * CLIENT_MEMORY_PERCENT), loop, log);
        engines = new EngineClient(pool, memory);
        Quotas quotas = new Quotas(Budgets.withoutQuotas(config.connections().maxOpenRequests()), loop, log, memory);
        broker = new Broker(new Logic(settings), settings, quotas, loop, engines, log);
        double longestDeadlineMs = settings.classes().stream().mapToDouble(Router.RequestClass::deadlineMs).max()
                .orElse(0);
        httpFront = new PlatformFront(broker, config.names(), lifecycle, loop, memory, longestDeadlineMs);
        watch = new PlatformWatch(pool, loop, config.discovery(), config.names(), settings.nodeCount(),
                settings.seed(), this::updateEngines);
        tools = toolsEnabled
                ? new ToolServices(toolsConfig, loop, buffers, memory, settings.seed(),
                        sockets * TOOL_SERVER_PERCENT / 100)
                : null;
        rpcFront = toolsEnabled ? new RpcFront(toolsConfig, tools.brokers(), broker, config.names(), lifecycle) : null;
        rpcListen = toolsEnabled ? toolsConfig.listen() : null;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return lifecycle.phase();
    }

    /** Returns the address on which the JSON-RPC front listens, if it is on. */
    public InetSocketAddress rpcAddress() {
        return rpcServer.getLocalAddress(InetSocketAddress.class);
    }

    /** Returns the number of requests, at either front, of which any state is still kept. */
    public int retainedRequests() {
        return broker.retainedRequests() + (tools == null ? 0 : tools.retainedRequests());
    }

    /** Returns the address on which the HTTP front listens, once it does. */
    public InetSocketAddress address() {
        return httpServer.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Starts to listen and serve. The gateway is ready as soon as it has a list of engines by which it may route; one
     * from an earlier run may have to be confirmed first. If discovery does not answer for long, it is ready without a
     * list, and requests wait for one.
     */
    public void start() throws IOException {
        loop.execute(() -> {
            startFrom(config.knownEngines());
            watch.poll();
            loop.schedule(loop.nowMs() + StartRules.MAX_UNREADY_MS, this::becomeReadyWithoutList);
            if (tools != null) tools.start();
        });
        httpServer = listen(config.listen(), httpFront, HTTP_CLIENT_PERCENT, httpFront::setListener);
        if (rpcFront != null) rpcServer = listen(rpcListen, rpcFront, RPC_CLIENT_PERCENT, rpcFront::setListener);
        LOG.info("{} listens on {}", config.name(), address());
        logSettings();
    }

    /** Logs the settings of the rules, which an operator needs to interpret the log line of a request that failed. */
    private void logSettings() {
        Router.Settings settings = config.settings();
        for (int i = 0; i < settings.classes().size(); i++) {
            Router.RequestClass requestClass = settings.classes().get(i);
            LOG.info("kind {} {}: repeat {} scope {} window {} ms, deadline {} ms", i, config.names().classes().get(i),
                    requestClass.repeat(), requestClass.scope(), requestClass.keyTtlMs(), requestClass.deadlineMs());
        }
        LOG.info("rules: {}; limits: {}", settings.rules(), settings.limits());
    }

    /** Starts from the engines of an earlier run, if there are any. */
    private void startFrom(EngineList known) {
        unconfirmed = known;
        boolean pushed = !config.settings().mustSubscribe();
        boolean hasEngines = known != null && !known.members().isEmpty();
        watch.resumeFrom(hasEngines ? known.version() : PlatformWatch.NO_VERSION, pushed);
        if (StartRules.mayUseRememberedList(pushed)) useRememberedList();
    }

    /**
     * Routes by the remembered list from now on. Until the agent has confirmed it, requests of clients wait, as they would
     * otherwise be sent to engines that have started to drain in the meantime.
     */
    private void useRememberedList() {
        if (unconfirmed == null) return;
        EngineList known = unconfirmed;
        unconfirmed = null;
        engines.addAddresses(known.addresses());
        broker.updateEngines(new Router.Members(Router.ListKind.REMEMBERED, known.version(), known.members()));
        if (!known.members().isEmpty()) becomeReady();
    }

    /**
     * Starts to listen. Above the high-water mark no connection is accepted: those that wait in the backlog use no file
     * descriptor, so that engines can still be reached.
     *
     * @param percent the share of the file descriptors that clients of this listener may use
     * @param attach gives the listener to its front
     */
    private AcceptingChannel<?> listen(InetSocketAddress address, HttpHandler handler, int percent,
            Consumer<ClientListener> attach)
            throws IOException {
        HttpOpenListener openListener = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.ALWAYS_SET_DATE, false).set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .getMap());
        openListener.setRootHandler(handler);
        int maxConnections = config.connections().maxSockets() * percent / 100;
        ClientListener listener = new ClientListener(openListener, loop, maxConnections, broker.counters());
        listeners.add(listener);
        attach.accept(listener);
        AcceptingChannel<?> channel = worker.createStreamConnectionServer(address,
                ChannelListeners.openListenerAdapter(listener),
                OptionMap.builder().set(Options.BACKLOG, 1_024).set(Options.TCP_NODELAY, true)
                        .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                        .set(Options.CONNECTION_LOW_WATER, maxConnections - 1).getMap());
        channel.resumeAccepts();
        loop.execute(() -> AcceptBackOff.limit(loop, channel, listener::acceptFailed));
        return channel;
    }

    private void updateEngines(EngineList list) {
        useRememberedList();
        engines.addAddresses(list.addresses());
        broker.updateEngines(new Router.Members(list.complete() ? Router.ListKind.WHOLE : Router.ListKind.CHANGES,
                list.version(), list.members()));
        becomeReady();
    }

    private void becomeReadyWithoutList() {
        if (lifecycle.phase() != Phase.STARTING) return;
        LOG.warn("ready without a list of engines, as discovery has not answered; requests wait for it");
        becomeReady();
    }

    private void becomeReady() {
        if (lifecycle.phase() == Phase.STARTING) lifecycle.moveTo(Phase.READY);
    }

    /**
     * Applies the part of a new configuration that may change at run time: the address of discovery. Open requests and
     * everything learned so far are kept.
     */
    public void reload(NodeConfig newConfig) {
        loop.execute(() -> {
            watch.switchAgent(newConfig.discovery());
            LOG.info("configuration reloaded: discovery is at {}", newConfig.discovery());
        });
    }

    /** Applies the part of a new tool configuration that may change at run time: the address of Consul. */
    public void reloadTools(ToolsConfig newConfig) {
        loop.execute(() -> {
            if (tools != null) tools.reload(newConfig);
        });
    }

    /** Handles the signal to stop: serves new requests for a while, finishes those accepted, then stops. */
    public void drain() {
        loop.execute(() -> {
            Phase phase = lifecycle.phase();
            if (phase != Phase.STARTING && phase != Phase.READY) return;
            lifecycle.moveTo(Phase.DRAINING);
            LOG.info("draining: {} requests open", retainedRequests());
            loop.schedule(loop.nowMs() + ARRIVAL_GRACE_MS, this::finish);
        });
    }

    private void finish() {
        if (lifecycle.phase() == Phase.DRAINING) lifecycle.moveTo(Phase.FINISHING);
        listeners.get(0).closeIdle();
        if (listeners.get(0).activeConnections() > 0 || retainedRequests() > 0
                || rpcFront != null && rpcFront.openRequests() > 0) {
            loop.schedule(loop.nowMs() + DRAIN_POLL_MS, this::finish);
            return;
        }
        // A gateway that has exited releases nothing. Requests that arrive during this wait are refused as before.
        if (Double.isNaN(exitByMs)) exitByMs = loop.nowMs() + RELEASE_GRACE_MS;
        if (broker.pendingReleases() > 0 && loop.nowMs() < exitByMs) {
            loop.schedule(loop.nowMs() + DRAIN_POLL_MS, this::finish);
            return;
        }
        if (rpcFront != null) rpcFront.close();
        lifecycle.moveTo(Phase.STOPPED);
        broker.counters().logChanges();
        LOG.info("memory for clients: {}", memory.describe());
        LOG.info("drained; releases not answered: {}", broker.pendingReleases());
        stopped.countDown();
    }

    /** Stops at once, even with open requests. */
    public void stop() {
        loop.execute(() -> {
            IoUtils.safeClose(httpServer, rpcServer);
            listeners.forEach(ClientListener::close);
            loop.close();
            worker.shutdownNow();
        });
    }

    /** Waits until the drain has ended, then closes threads and sockets. */
    public void join() throws InterruptedException {
        stopped.await();
        stop();
    }
}
