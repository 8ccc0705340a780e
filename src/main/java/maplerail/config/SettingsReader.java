package maplerail.config;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router;

/** Parses the start-up settings into {@link Router.Settings}. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * The parsed settings.
     *
     * @param memoryColumn the column of the memory share in a load report; -1 if it is not reported
     */
    public record Parsed(Router.Settings settings, int memoryColumn) {}

    /** Parses the settings from JSON. */
    public static Parsed read(long seed, String text) {
        return read(seed, JsonValue.parseObject("settings", text));
    }

    /** Reads the settings from a JSON object that is part of a larger configuration. */
    public static Parsed read(long seed, JsonValue root) {
        JsonValue family = root.require("familyInfo");
        return new Parsed(new Router.Settings(seed, (int) root.require("balancers").atLeast(1),
                (int) root.require("zone").atLeast(0), root.require("tickMs").positive(),
                "ask".equals(root.at("discovery").text("")), root.at("overShareWorth").atLeast(0, 1),
                classes(root, family), tenants(root), kinds(family), limits(root, family), rules(root, family)),
                memoryColumn(root));
    }

    private static List<Router.RequestClass> classes(JsonValue root, JsonValue family) {
        List<Router.RequestClass> classes = new ArrayList<>();
        for (JsonValue lane : root.require("lanes").list()) {
            int index = classes.size();
            double targetUsPer1000Tokens = family.at("aimUsPer1000PromptTokens").at(index).atLeast(0, 0);
            Router.Repeat repeat = repeat(lane.require("repeat"));
            JsonValue repeatWindow = repeat == Router.Repeat.KEYED ? lane.require("keyTtlMs") : lane.at("keyTtlMs");
            classes.add(new Router.RequestClass(lane.require("goalTimeMs").positive(), targetUsPer1000Tokens / 1e6,
                    lane.require("deadlineMs").positive(), family.at("tokenAimMs").at(index).atLeast(0, 0),
                    lane.at("worth").atLeast(0, 1), lane.at("lateShare").atLeast(0, 0), repeat,
                    lane.at("keyScope").present() ? scope(lane.at("keyScope")) : Router.Scope.ALL,
                    repeatWindow.atLeast(0, 0)));
        }
        if (classes.isEmpty()) throw new ConfigException(root.at("lanes").path() + ": empty");
        return List.copyOf(classes);
    }

    /** Returns the repeat rule that a configuration value names. */
    public static Router.Repeat repeat(JsonValue name) {
        return switch (name.text()) {
            case "pure" -> Router.Repeat.PURE;
            case "token" -> Router.Repeat.KEYED;
            case "side_effect" -> Router.Repeat.UNSAFE;
            default -> throw unknown(name);
        };
    }

    private static Router.Scope scope(JsonValue name) {
        return switch (name.text()) {
            case "all" -> Router.Scope.ALL;
            case "zone" -> Router.Scope.ZONE;
            case "cell" -> Router.Scope.CELL;
            default -> throw unknown(name);
        };
    }

    private static ConfigException unknown(JsonValue name) {
        return new ConfigException(name.path() + ": unknown value '" + name.text() + "'");
    }

    private static List<Router.Tenant> tenants(JsonValue root) {
        return root.at("parties").list().stream()
                .map(party -> new Router.Tenant(party.at("quotaRps").atLeast(0, 0))).toList();
    }

    private static List<Router.Kind> kinds(JsonValue family) {
        List<Router.Kind> kinds = new ArrayList<>();
        for (JsonValue role : family.require("kindRole").list()) {
            Router.Role parsedRole = switch (role.text()) {
                case "read" -> Router.Role.READ;
                case "write" -> Router.Role.WRITE;
                case "both" -> Router.Role.BOTH;
                default -> throw unknown(role);
            };
            kinds.add(new Router.Kind(parsedRole, family.at("kindMemoryTokens").at(kinds.size()).atLeast(0, 0)));
        }
        if (kinds.isEmpty()) throw new ConfigException(family.at("kindRole").path() + ": empty");
        return List.copyOf(kinds);
    }

    private static Router.Limits limits(JsonValue root, JsonValue family) {
        JsonValue limits = root.require("limits");
        return new Router.Limits((int) limits.require("sendCap").atLeast(1), limits.at("cancel").booleanOrFalse(),
                limits.at("secondCopies").booleanOrFalse(), limits.at("retryAfter").booleanOrFalse(),
                limits.at("maxRetryAfterMs").atLeast(0, 0), family.at("readInPlace").booleanOrFalse());
    }

    private static Router.Rules rules(JsonValue root, JsonValue family) {
        JsonValue rules = root.require("rules");
        return new Router.Rules(rules.at("answerSlackMs").atLeast(0, 0), family.require("pinLimitMs").positive(),
                rules.require("startCapacity").atLeast(0), rules.require("tipMultiple").positive(),
                rules.require("overloadForMs").atLeast(0), rules.require("warmAfterMs").atLeast(0),
                rules.at("mustAskInMs").atLeast(0, 0));
    }

    private static int memoryColumn(JsonValue root) {
        List<JsonValue> columns = root.at("stats").at("columns").list();
        for (int i = 0; i < columns.size(); i++) {
            if ("x0".equals(columns.get(i).text(""))) return i;
        }
        return -1;
    }
}
