package maplerail.config;

import java.net.InetSocketAddress;
import java.util.Map;
import maplerail.Router;

/**
 * The start-up configuration of a gateway.
 *
 * @param listen the address on which the gateway takes requests
 * @param discovery the address of the discovery agent
 * @param knownEngines the engines known from an earlier run; null if there are none
 */
public record NodeConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, NameTables names,
        Router.Settings settings, EngineList knownEngines, ConnectionSettings connections) {

    private static final int DEFAULT_MAX_SOCKETS = 1_024; // file descriptors; used if the configuration states no limit
    private static final int MIN_SOCKETS = 128;

    /**
     * Settings for connections.
     *
     * @param connIdleMs the idle time after which engines close a connection, in ms
     * @param connectTimeoutMs the timeout for opening a connection, in ms
     * @param maxOpenRequests the maximum number of open requests
     * @param maxSockets the maximum number of file descriptors that the program may hold
     */
    public record ConnectionSettings(double connIdleMs, double connectTimeoutMs, int maxOpenRequests,
            boolean retryAfter, int maxSockets) {}

    /** Parses a configuration. Addresses that are set in the environment take precedence. */
    public static NodeConfig read(String text, Map<String, String> environment) {
        JsonValue root = JsonValue.parseObject("config", text);
        JsonValue settings = root.require("settings");
        if (!settings.isObject()) throw new ConfigException("config.settings: not an object");
        NameTables names = NameTables.read(settings);
        JsonValue limits = settings.require("limits");
        EngineList knownEngines = root.at("known").isObject() ? EngineList.read(root.at("known"), names) : null;
        return new NodeConfig(root.at("name").text(environment.getOrDefault("RELAY_NAME", "gateway")),
                address(environment.get("RELAY_LISTEN"), "RELAY_LISTEN", root, "listen"),
                address(environment.get("RELAY_DISCOVERY"), "RELAY_DISCOVERY", root, "discovery"), names,
                SettingsReader.read(StableIds.ofKey(root.at("seed").text("1")), settings).settings(), knownEngines,
                new ConnectionSettings(limits.at("connIdleMs").positive(30_000),
                        limits.at("connectTimeoutMs").positive(250),
                        (int) limits.at("maxOpen").atLeast(1, 20_000), limits.at("retryAfter").booleanOrFalse(),
                        maxSockets(root)));
    }

    private static int maxSockets(JsonValue root) {
        JsonValue limit = root.at("limits").at("sockets");
        int maxSockets = (int) Math.min(1 << 20, limit.number(DEFAULT_MAX_SOCKETS));
        if (maxSockets < MIN_SOCKETS) throw new ConfigException(limit.path() + ": under " + MIN_SOCKETS);
        return maxSockets;
    }

    private static InetSocketAddress address(String override, String variable, JsonValue root, String key) {
        if (override == null || override.isEmpty()) return Address.require(root.require(key));
        InetSocketAddress address = Address.parse(override);
        if (address == null) throw new ConfigException(variable + ": not an address: '" + override + "'");
        return address;
    }
}
