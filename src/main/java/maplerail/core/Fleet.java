package maplerail.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import maplerail.Router;
import maplerail.policy.ProtocolRules;

/** The engines that have been listed, their roles, and which of them accept new work. */
final class Fleet {
    private final List<Router.Kind> kinds;
    private final Map<Long, Router.Role> roles = new HashMap<>();
    private final Map<Long, Router.Member> members = new HashMap<>();
    private final Set<Long> ready = new HashSet<>();

    Fleet(List<Router.Kind> kinds) {
        this.kinds = kinds;
    }

    void update(Router.Members update) {
        if (update.kind() == Router.ListKind.FAILED) return;
        if (update.kind() != Router.ListKind.CHANGES) ready.clear();
        for (Router.Member member : update.members()) {
            members.put(member.engine(), member);
            if (member.kind() < kinds.size()) roles.put(member.engine(), kinds.get(member.kind()).role());
            if (member.state() == Router.State.READY) ready.add(member.engine());
            else ready.remove(member.engine());
        }
    }

    /** The engines in service, in a new set. */
    Set<Long> readyEngines() {
        return new TreeSet<>(ready);
    }

    boolean isReady(long engine) {
        return ready.contains(engine);
    }

    /** Returns an engine as the target of an attempt. An engine that was never listed counts as not in service. */
    ProtocolRules.Target target(long engine) {
        Router.Member member = members.get(engine);
        if (member == null) {
            int unknownPlace = Router.Member.UNKNOWN_PLACE;
            return new ProtocolRules.Target(Router.Role.BOTH, false, unknownPlace, unknownPlace);
        }
        Router.Role role = roles.getOrDefault(engine, Router.Role.BOTH);
        return new ProtocolRules.Target(role, isReady(engine), member.zone(), member.cell());
    }
}
