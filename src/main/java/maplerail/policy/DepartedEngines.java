package maplerail.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Members;
import maplerail.Router.State;

/**
 * Engines that were told to drain or to be gone, and in which version of the list. An older list, of another agent that is
 * behind, must not put them back into service; a newer one does, and so does any that shows them started again.
 */
public final class DepartedEngines {
    /** Longest time by which one agent may be behind another: lists are seconds late, outages of discovery apart. */
    private static final double MAX_LAG_MS = 60_000;

    private final Map<Long, Departure> departures = new LinkedHashMap<>();
    /** When each engine in service last started, by the newest list. */
    private final Map<Long, Double> startedMs = new LinkedHashMap<>();
    private long newestVersion = Long.MIN_VALUE;

    /** When an engine was told to leave, in which version, and when the process that leaves had started. */
    private record Departure(double toldMs, long version, double startedMs) {}

    /** Returns the list itself, or one in which the engines whose departure is newer than the list count as draining. */
    public Members apply(Members list, double nowMs) {
        if (list.kind() == ListKind.FAILED) return list;
        departures.values().removeIf(departure -> nowMs - departure.toldMs() > MAX_LAG_MS);
        if (list.kind() != ListKind.CHANGES && list.version() >= newestVersion) onNewestList(list, nowMs);
        newestVersion = Math.max(newestVersion, list.version());
        List<Member> members = new ArrayList<>(list.members().size());
        for (Member member : list.members()) members.add(apply(member, list.version(), nowMs));
        return members.equals(list.members()) ? list : new Members(list.kind(), list.version(), members);
    }

    /** Engines that the newest whole list does not name any more are gone. */
    private void onNewestList(Members list, double nowMs) {
        Map<Long, Double> unlisted = new LinkedHashMap<>(startedMs);
        list.members().forEach(member -> unlisted.remove(member.engine()));
        unlisted.forEach((engine, started) -> leave(engine, new Departure(nowMs, list.version(), started)));
    }

    private Member apply(Member member, long version, double nowMs) {
        Departure departure = departures.get(member.engine());
        if (member.state() != State.READY) {
            boolean known = departure != null && departure.version() >= version;
            double started = Math.max(member.startedMs(), startedMs.getOrDefault(member.engine(), 0.0));
            if (!known) leave(member.engine(), new Departure(nowMs, version, started));
            return member;
        }
        boolean outdated = departure != null && version < departure.version()
                && member.startedMs() <= departure.startedMs();
        if (outdated) return withState(member, State.DRAINING);
        departures.remove(member.engine());
        startedMs.put(member.engine(), member.startedMs());
        return member;
    }

    private void leave(long engine, Departure departure) {
        departures.put(engine, departure);
        startedMs.remove(engine);
    }

    private static Member withState(Member member, State state) {
        return new Member(member.engine(), state, member.startedMs(), member.zone(), member.cell(), member.scale(),
                member.kind());
    }
}
