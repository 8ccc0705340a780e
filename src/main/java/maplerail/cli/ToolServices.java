package maplerail.cli;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.Logic;
import maplerail.Router;
import maplerail.config.StableIds;
import maplerail.config.EngineList;
import maplerail.config.ToolsConfig;
import maplerail.core.Quotas;
import maplerail.core.Broker;
import maplerail.core.ClientMemory;
import maplerail.discovery.ConsulWatch;
import maplerail.net.ConnectionPool;
import maplerail.net.ToolClient;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The tool services: a broker with a decision module for each of them, and the discovery of their servers. */
final class ToolServices {
    private static final Logger LOG = LoggerFactory.getLogger(ToolServices.class);
    private static final double IDLE_TIMEOUT_MS = 10_000; // tool servers state no time after which they close
    private static final double CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_OPEN_CALLS = 1_000;

    private final ToolsConfig config;
    private final XnioLoop loop;
    private final ConnectionPool pool;
    private ConsulWatch watch;
    private final Map<String, Broker> brokers = new TreeMap<>();
    private final Map<String, ToolClient> clients = new TreeMap<>();

    ToolServices(ToolsConfig config, XnioLoop loop, io.undertow.connector.ByteBufferPool buffers, ClientMemory memory,
            long seed, int maxConnections) {
        this.config = config;
        this.loop = loop;
        this.pool = new ConnectionPool(loop, buffers, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS, maxConnections);
        Router.Settings settings = config.settings(seed);
        Quotas quotas = new Quotas(config.budgets(MAX_OPEN_CALLS), loop, line -> LOG.info("{}", line), memory);
        for (String name : config.services().keySet()) {
            ToolClient client = new ToolClient(pool);
            clients.put(name, client);
            brokers.put(name, new Broker(new Logic(settings), settings, quotas, loop, client,
                    line -> LOG.info("{}: {}", name, line)));
        }
    }

    Map<String, Broker> brokers() {
        return brokers;
    }

    /** Starts the discovery of servers; must be called on the loop. */
    void start() {
        config.services().forEach((name, service) -> {
            if (!service.servers().isEmpty()) updateServers(name, staticList(service.servers()));
        });
        if (config.consul() == null) return;
        Map<String, ToolsConfig.Service> consulServices = new HashMap<>(config.services());
        consulServices.values().removeIf(service -> !service.servers().isEmpty());
        watch = new ConsulWatch(pool, loop, config.consul(), consulServices.keySet(), this::updateServers);
        watch.start();
    }

    /** Applies the part of a new configuration that may change at run time: the address of Consul. */
    void reload(ToolsConfig newConfig) {
        if (watch != null && newConfig.consul() != null) watch.switchAgent(newConfig.consul());
    }

    private static EngineList staticList(List<InetSocketAddress> servers) {
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (InetSocketAddress server : servers) addresses.put(StableIds.ofEngine(server.toString()), server);
        return new EngineList(0, true, addresses.keySet().stream().sorted()
                .map(id -> new Router.Member(id, Router.State.READY, 0, 0, 0, 1, 0)).toList(), addresses);
    }

    private void updateServers(String service, EngineList list) {
        clients.get(service).addAddresses(list.addresses());
        brokers.get(service).updateEngines(new Router.Members(Router.ListKind.WHOLE, list.version(), list.members()));
    }

    int retainedRequests() {
        return brokers.values().stream().mapToInt(Broker::retainedRequests).sum();
    }
}
