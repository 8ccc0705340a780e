package maplerail.config;

import java.util.List;
import java.util.stream.Stream;

/** The names of zones, kinds, classes and tenants, which the decision module knows by their index in these lists. */
public record NameTables(List<String> zones, List<String> kinds, List<String> classes, List<String> tenants) {
    /** Reads the names from the settings. */
    public static NameTables read(JsonValue settings) {
        return new NameTables(texts(settings.at("localities").list().stream()),
                texts(settings.at("shapes").list().stream()),
                texts(settings.require("lanes").list().stream().map(lane -> lane.require("name"))),
                texts(settings.at("parties").list().stream().map(party -> party.require("name"))));
    }

    private static List<String> texts(Stream<JsonValue> values) {
        return values.map(JsonValue::text).toList();
    }
}
