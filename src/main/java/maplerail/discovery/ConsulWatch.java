package maplerail.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.config.Address;
import maplerail.config.StableIds;
import maplerail.config.EngineList;
import maplerail.config.JsonValue;
import maplerail.net.ConnectionPool;
import maplerail.net.XnioLoop;

/**
 * Watches services in Consul: its catalogue lists the services, and its health API lists their servers and which of
 * them may be called.
 */
public final class ConsulWatch {
    private final ConnectionPool pool;
    private final XnioLoop loop;
    private InetSocketAddress agent;
    private final Set<String> serviceNames;
    private final BiConsumer<String, EngineList> onList;
    private final Set<String> watched = new HashSet<>();
    private final List<BlockingQuery> queries = new ArrayList<>();
    private long version;

    /**
     * Creates a watch.
     *
     * @param serviceNames names of the services to watch
     * @param onList called with the complete list of a service on each change
     */
    public ConsulWatch(ConnectionPool pool, XnioLoop loop, InetSocketAddress agent, Set<String> serviceNames,
            BiConsumer<String, EngineList> onList) {
        this.pool = pool;
        this.loop = loop;
        this.agent = agent;
        this.serviceNames = Set.copyOf(serviceNames);
        this.onList = onList;
    }

    /** Watches the catalogue, and each configured service from its first appearance there. */
    public void start() {
        query("/v1/catalog/services", catalogue -> {
            for (String name : catalogue.keys()) {
                if (serviceNames.contains(name) && watched.add(name)) watch(name);
            }
        });
    }

    /** Switches to another agent; the known lists stay in force until it responds. */
    public void switchAgent(InetSocketAddress newAgent) {
        if (newAgent.equals(agent)) return;
        agent = newAgent;
        queries.forEach(query -> query.switchAgent(newAgent));
    }

    private void query(String path, Consumer<JsonValue> onChange) {
        BlockingQuery query = new BlockingQuery(pool, loop, agent, path, onChange);
        queries.add(query);
        query.poll();
    }

    private void watch(String name) {
        query("/v1/health/service/" + name, response -> onList.accept(name, readServers(response, ++version)));
    }

    /** Reads the servers in a response of the health API; a server with a critical check receives no new requests. */
    static EngineList readServers(JsonValue response, long version) {
        List<Router.Member> members = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (JsonValue entry : response.list()) {
            JsonValue service = entry.at("Service");
            String host = service.at("Address").text("");
            if (host.isEmpty()) host = entry.at("Node").at("Address").text("");
            InetSocketAddress address = Address.parse(host + ":" + (long) service.at("Port").number(0));
            if (address == null || address.getPort() == 0) continue;
            long id = StableIds.ofEngine(entry.at("Node").at("Node").text("") + "/" + service.at("ID").text(host));
            boolean critical = entry.at("Checks").list().stream()
                    .anyMatch(check -> !Set.of("passing", "warning").contains(check.at("Status").text("")));
            addresses.put(id, address);
            members.add(new Router.Member(id, critical ? Router.State.DRAINING : Router.State.READY, 0, 0, 0, 1, 0));
        }
        return new EngineList(version, true, List.copyOf(members), Map.copyOf(addresses));
    }
}
