package maplerail.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Rules;

/**
 * The start times of engines, converted to this node's clock. The stamps in the list come from wall clocks of other
 * machines, which may differ from this node's by seconds or an hour and may be set back between two starts. A stamp is
 * therefore used only to tell one process of an engine from another, and to compare its age with that of the newest
 * engine.
 *
 * <p>An engine whose start is reported while this node runs counts as started when the report arrived, or earlier by the
 * report's delay beyond the shortest delay seen; the difference of the clocks cancels out. In the first list, the newest
 * engine counts as just started and the others as older by the difference of the stamps. If that would make most engines
 * of a kind cold although they are warm by this node's clock, the clock takes precedence: a node that considers a
 * healthy fleet cold serves few requests.
 */
public final class EngineClock {
    private static final double LONG_AGO = 0; // used as a stamp and as a start time
    private static final double MAX_EXTRA_DELAY_MS = 8_000; // of a report; a longer delay means that a clock was set
    private static final double MAX_COLD_SHARE = 0.5; // of a kind, that may count as cold although warm by the clock

    private final double startCapacity;
    private final double warmAfterMs;
    private final Map<Long, Start> starts = new TreeMap<>();
    private boolean listSeen;
    /** Shortest delay seen from a stamp to its report, the difference of the clocks included. */
    private double minDelayMs = Double.NaN;

    private record Start(double stampMs, double startedMs) {}

    /** Creates a clock that knows no engine. */
    public EngineClock(Rules rules) {
        startCapacity = rules.startCapacity();
        warmAfterMs = rules.warmAfterMs();
    }

    /** Processes a list or changes to one; engines that are no longer listed are forgotten. */
    public void onList(ListKind kind, List<Member> members, double nowMs) {
        if (kind == ListKind.FAILED) return;
        if (kind != ListKind.CHANGES) starts.keySet().retainAll(members.stream().map(Member::engine).toList());
        boolean first = !listSeen && kind != ListKind.CHANGES;
        double newestStampMs = members.stream().mapToDouble(Member::startedMs).max().orElse(LONG_AGO);
        for (Member member : members) {
            double stampMs = member.startedMs();
            Start known = starts.get(member.engine());
            // The same process as before. A known engine that is now listed as started long ago is the same one too.
            if (known != null && (stampMs == known.stampMs() || stampMs <= LONG_AGO)) continue;
            double startedMs = LONG_AGO;
            if (stampMs > LONG_AGO) {
                startedMs = first ? stampMs + clockOffsetMs(member.kind(), members, newestStampMs, nowMs)
                        : nowMs - ageMs(stampMs, nowMs);
            }
            starts.put(member.engine(), new Start(stampMs, startedMs));
        }
        listSeen = true;
    }

    /** Age of an engine when its start is reported: the report's delay beyond the shortest delay. */
    private double ageMs(double stampMs, double nowMs) {
        double delayMs = nowMs - stampMs;
        double extraDelayMs = delayMs - minDelayMs;
        if (extraDelayMs >= 0 && extraDelayMs <= MAX_EXTRA_DELAY_MS) return extraDelayMs;
        minDelayMs = delayMs; // the first report, a shorter delay, or a clock that was set meanwhile
        return 0;
    }

    /** The difference that converts the stamps of the first list to this node's clock. */
    private double clockOffsetMs(int kind, List<Member> members, double newestStampMs, double nowMs) {
        double newestAgeMs = nowMs - newestStampMs;
        if (newestAgeMs < 0) return newestAgeMs;
        long peers = members.stream().filter(member -> member.kind() == kind).count();
        long cold = members.stream().filter(member -> member.kind() == kind && member.startedMs() > LONG_AGO
                && member.startedMs() > newestStampMs - warmAfterMs).count();
        return cold <= MAX_COLD_SHARE * peers ? newestAgeMs : 0;
    }

    /** Forgets an engine that has left the list. */
    public void forget(long engine) {
        starts.remove(engine);
    }

    /** When the current process of an engine started; 0 for long ago. */
    public double startedMs(long engine) {
        Start start = starts.get(engine);
        return start == null ? LONG_AGO : start.startedMs();
    }

    /** Whether an engine with that start time has not reached its full capacity yet. */
    public boolean isCold(double startedMs, double nowMs) {
        return startedMs > LONG_AGO && nowMs < startedMs + warmAfterMs;
    }

    /** The share of its capacity that an engine has at its age: it grows linearly from the start capacity of the rules. */
    public double currentCapacity(double startedMs, double nowMs) {
        if (!isCold(startedMs, nowMs)) return 1;
        double age = Math.max(0, nowMs - startedMs) / warmAfterMs;
        return startCapacity + (1 - startCapacity) * Math.min(1, age);
    }
}
