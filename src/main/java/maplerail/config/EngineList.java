package maplerail.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router;

/**
 * A list of engines as discovery reports it.
 *
 * @param complete whether this is the complete list; otherwise it holds only changes
 * @param members the engines, in the form that the decision module takes
 * @param addresses the address of each engine that has one, by engine ID
 */
public record EngineList(long version, boolean complete, List<Router.Member> members,
        Map<Long, InetSocketAddress> addresses) {
    private static final int UNKNOWN_KIND = 255; // for kinds that the settings do not name

    /** Parses discovery's JSON. An entry that cannot be read is skipped, so that it does not hide the others. */
    public static EngineList read(JsonValue root, NameTables names) {
        List<Router.Member> members = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (JsonValue host : root.require("hosts").list()) {
            String name = host.at("host").text("");
            if (name.isEmpty()) continue;
            long id = StableIds.ofEngine(name);
            InetSocketAddress address = Address.parse(host.at("dial").text(null));
            Router.State state = state(host.at("health").text(""));
            if (state == Router.State.READY && address == null) continue;
            if (address != null) addresses.put(id, address);
            members.add(new Router.Member(id, state, host.at("born_ms").number(0),
                    indexOf(names.zones(), host.at("site"), Router.Member.UNKNOWN_PLACE),
                    (int) host.at("block").number(Router.Member.UNKNOWN_PLACE), host.at("share").number(1),
                    indexOf(names.kinds(), host.at("class"), UNKNOWN_KIND)));
        }
        return new EngineList((long) root.require("seq").atLeast(0), root.at("whole").isTrue(), List.copyOf(members),
                Map.copyOf(addresses));
    }

    /**
     * Maps a health value to a state. An unknown value counts as draining: the engine gets no new work, which is safer
     * than sending work to an engine that may not accept it.
     */
    private static Router.State state(String health) {
        return switch (health) {
            case "in_service" -> Router.State.READY;
            case "terminated" -> Router.State.GONE;
            default -> Router.State.DRAINING;
        };
    }

    private static int indexOf(List<String> names, JsonValue name, int unknown) {
        int index = names.indexOf(name.text(""));
        return index >= 0 ? index : unknown;
    }
}
