package maplerail.config;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router;

/** Turns the start-up settings into {@link Router.Settings}. */
public final class SettingsReader {
    private SettingsReader() {}

    /** The settings, and the place of the memory share in a load report (-1: not reported). */
    public record Parsed(Router.Settings settings, int memoryColumn) {}

    /** Reads the text of the settings. */
    public static Parsed read(long seed, String text) {
        return read(seed, JsonValue.parseObject("settings", text));
    }

    /** Reads the settings from a larger text that holds them. */
    public static Parsed read(long seed, JsonValue root) {
        JsonValue family = root.require("familyInfo");
        return new Parsed(new Router.Settings(seed, (int) root.require("balancers").atLeast(1),
                (int) root.require("zone").atLeast(0), root.require("tickMs").positive(),
                "ask".equals(root.at("discovery").text("")), root.at("overShareWorth").atLeast(0, 1),
                classes(root, family), tenants(root), kinds(family), limits(root, family), rules(root, family)),
                memoryColumn(root));
    }

    private static List<Router.RequestClass> classes(JsonValue root, JsonValue family) {
        List<Router.RequestClass> out = new ArrayList<>();
        for (JsonValue lane : root.require("lanes").list()) {
            int i = out.size();
            double aimUsPerK = family.at("aimUsPer1000PromptTokens").at(i).atLeast(0, 0);
            Router.Repeat repeat = repeat(lane.require("repeat"));
            JsonValue window = repeat == Router.Repeat.KEYED ? lane.require("keyTtlMs") : lane.at("keyTtlMs");
            out.add(new Router.RequestClass(lane.require("goalTimeMs").positive(), aimUsPerK / 1e6,
                    lane.require("deadlineMs").positive(), family.at("tokenAimMs").at(i).atLeast(0, 0),
                    lane.at("worth").atLeast(0, 1), lane.at("lateShare").atLeast(0, 0), repeat,
                    lane.at("keyScope").present() ? scope(lane.at("keyScope")) : Router.Scope.ALL,
                    window.atLeast(0, 0)));
        }
        if (out.isEmpty()) throw new ConfigException(root.at("lanes").path() + ": empty");
        return List.copyOf(out);
    }

    /** The repeat rule that a word stands for. */
    public static Router.Repeat repeat(JsonValue word) {
        return switch (word.text()) {
            case "pure" -> Router.Repeat.PURE;
            case "token" -> Router.Repeat.KEYED;
            case "side_effect" -> Router.Repeat.UNSAFE;
            default -> throw unknown(word);
        };
    }

    private static Router.Scope scope(JsonValue word) {
        return switch (word.text()) {
            case "all" -> Router.Scope.ALL;
            case "zone" -> Router.Scope.ZONE;
            case "cell" -> Router.Scope.CELL;
            default -> throw unknown(word);
        };
    }

    private static ConfigException unknown(JsonValue word) {
        return new ConfigException(word.path() + ": unknown value '" + word.text() + "'");
    }

    private static List<Router.Tenant> tenants(JsonValue root) {
        return root.at("parties").list().stream()
                .map(party -> new Router.Tenant(party.at("quotaRps").atLeast(0, 0))).toList();
    }

    private static List<Router.Kind> kinds(JsonValue family) {
        List<Router.Kind> out = new ArrayList<>();
        for (JsonValue role : family.require("kindRole").list()) {
            Router.Role known = switch (role.text()) {
                case "read" -> Router.Role.READ;
                case "write" -> Router.Role.WRITE;
                case "both" -> Router.Role.BOTH;
                default -> throw unknown(role);
            };
            out.add(new Router.Kind(known, family.at("kindMemoryTokens").at(out.size()).atLeast(0, 0)));
        }
        if (out.isEmpty()) throw new ConfigException(family.at("kindRole").path() + ": empty");
        return List.copyOf(out);
    }

    private static Router.Limits limits(JsonValue root, JsonValue family) {
        JsonValue limits = root.require("limits");
        return new Router.Limits((int) limits.require("sendCap").atLeast(1), limits.at("cancel").flagOrAbsent(),
                limits.at("secondCopies").flagOrAbsent(), limits.at("retryAfter").flagOrAbsent(),
                limits.at("maxRetryAfterMs").atLeast(0, 0), family.at("readInPlace").flagOrAbsent());
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
