package maplerail.config;

import java.util.List;
import java.util.stream.Stream;

/** The names behind the places by which the module knows zones, kinds, classes and tenants. */
public record NameTables(List<String> zones, List<String> kinds, List<String> classes, List<String> tenants) {
    /** Reads them from the settings. */
    public static NameTables read(JsonValue settings) {
        return new NameTables(texts(settings.at("localities").list().stream()),
                texts(settings.at("shapes").list().stream()),
                texts(settings.require("lanes").list().stream().map(lane -> lane.require("name"))),
                texts(settings.at("parties").list().stream().map(party -> party.require("name"))));
    }

    private static List<String> texts(Stream<JsonValue> of) {
        return of.map(JsonValue::text).toList();
    }
}
