package maplerail.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import maplerail.Router;
import maplerail.core.Budgets;

/**
 * The operator's configuration of the JSON-RPC front, which is on only if there is one: services, tools, their
 * contracts and the budgets of teams.
 *
 * @param listen the address on which the front takes connections
 * @param path the path of the front's endpoint
 * @param consul the address of Consul; null if all servers are listed
 */
public record ToolsConfig(InetSocketAddress listen, String path, InetSocketAddress consul,
        Map<String, Service> services, List<Contract> contracts, Map<String, Tool> tools, List<Team> teams) {

    /**
     * A group of equivalent tool servers.
     *
     * @param path the path of the requests to the servers
     * @param servers the servers' addresses; empty if they are found through Consul
     */
    public record Service(String path, List<InetSocketAddress> servers) {}

    /** The repeat rule, the deadline and the size limits for the calls of one class. */
    public record Contract(String name, Router.Repeat repeat, double deadlineMs, int maxArgumentBytes,
            int maxReplyBytes) {}

    /** A tool: the name of the service that provides it, and the index of its contract. */
    public record Tool(String service, int contractIndex) {}

    /** A team and its budget. */
    public record Team(String name, Budgets.Budget budget) {}

    /** Parses the configuration. */
    public static ToolsConfig read(String text) {
        JsonValue root = JsonValue.parseObject("tools", text);
        InetSocketAddress consul = root.at("consul").present() ? Address.require(root.at("consul")) : null;
        Map<String, Service> services = new TreeMap<>();
        for (String name : requireKeys(root, "services")) {
            services.put(name, service(root.at("services").at(name), consul));
        }
        List<Contract> contracts = new ArrayList<>();
        for (String name : requireKeys(root, "contracts")) contracts.add(contract(name, root.at("contracts").at(name)));
        Map<String, Tool> tools = new TreeMap<>();
        List<String> contractNames = contracts.stream().map(Contract::name).toList();
        for (String name : requireKeys(root, "tools")) {
            JsonValue tool = root.at("tools").at(name);
            String service = tool.require("service").text();
            if (!services.containsKey(service)) throw unknown(tool.at("service"));
            int contractIndex = contractNames.indexOf(tool.require("contract").text());
            if (contractIndex < 0) throw unknown(tool.at("contract"));
            tools.put(name, new Tool(service, contractIndex));
        }
        List<Team> teams = new ArrayList<>();
        for (String name : requireKeys(root, "teams")) {
            JsonValue team = root.at("teams").at(name);
            teams.add(new Team(name, new Budgets.Budget(positiveUpTo(team.require("calls_per_s"), 1e6),
                    (int) positiveUpTo(team.require("calls_in_flight"), 10_000))));
        }
        return new ToolsConfig(Address.require(root.require("listen")), root.at("path").text("/rpc"), consul, services,
                List.copyOf(contracts), tools, List.copyOf(teams));
    }

    private static List<String> requireKeys(JsonValue root, String key) {
        List<String> keys = root.require(key).keys();
        if (keys.isEmpty()) throw new ConfigException(root.at(key).path() + ": empty");
        return keys;
    }

    private static Service service(JsonValue value, InetSocketAddress consul) {
        List<InetSocketAddress> servers = value.at("servers").list().stream().map(Address::require).toList();
        if (servers.isEmpty() && consul == null) {
            throw new ConfigException(value.at("servers").path() + ": missing, and tools.consul is not set");
        }
        return new Service(value.at("path").text("/"), servers);
    }

    private static Contract contract(String name, JsonValue value) {
        return new Contract(name, SettingsReader.repeat(value.require("repeat")),
                positiveUpTo(value.require("deadline_ms"), 600_000),
                (int) positiveUpTo(value.require("most_argument_bytes"), 256 * 1024),
                (int) positiveUpTo(value.require("most_reply_bytes"), 1024 * 1024));
    }

    private static double positiveUpTo(JsonValue number, double max) {
        double value = number.number();
        if (!(value > 0 && value <= max)) {
            throw new ConfigException(number.path() + ": must be above 0 and at most " + (long) max);
        }
        return value;
    }

    private static ConfigException unknown(JsonValue name) {
        return new ConfigException(name.path() + ": unknown value '" + name.text() + "'");
    }

    /**
     * Returns the budgets of callers.
     *
     * @param maxOpen the maximum number of open calls
     */
    public Budgets budgets(int maxOpen) {
        return new Budgets(maxOpen, contracts.stream().map(c -> new Budgets.Contract(c.maxArgumentBytes())).toList(),
                teams.stream().map(Team::budget).toList());
    }

    /** Returns the settings of a decision module for tool servers: each serves calls alone and holds no state. */
    public Router.Settings settings(long seed) {
        List<Router.RequestClass> classes = contracts.stream().map(c -> new Router.RequestClass(c.deadlineMs(), 0,
                c.deadlineMs(), 0, 1, 0, c.repeat(), Router.Scope.ALL, c.deadlineMs())).collect(Collectors.toList());
        return new Router.Settings(seed, 1, 0, 1, false, 1, classes, List.of(),
                List.of(new Router.Kind(Router.Role.BOTH, 1e6)),
                new Router.Limits(4, true, true, true, 1_000, false), new Router.Rules(0, 500, 1, 1e6, 1_000, 0, 0));
    }
}
