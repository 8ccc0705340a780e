package maplerail.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Rules;

/**
 * When engines started, in this node's own time. Their stamps come from other machines' wall clocks, which may differ
 * from this one's by seconds or an hour and may be set back between two starts: a stamp only tells one process of an
 * engine from another, and how much older than the newest engine one is.
 *
 * <p>An engine whose start is told while this node runs counts as started when the news came, or earlier by as much as
 * this news took longer than the soonest did; both clocks' difference is in both. In a node's first list the
 * newest engine counts as just started, and the others as older by the difference of the stamps. Where that would make
 * most engines of a kind cold though the clock says that they are warm, the clock is believed: a node that held a sound
 * fleet to be cold would serve little.
 */
public final class EngineClock {
    private static final double LONG_AGO = 0; // as a stamp and as a time
    private static final double MOST_LATER_MS = 8_000; // of news, than the soonest; beyond, a clock has been set
    private static final double MOST_COLD = 0.5; // of a kind, that may be cold against the clock

    private final double startCapacity;
    private final double warmAfterMs;
    private final Map<Long, Start> starts = new TreeMap<>();
    private boolean listed;
    /** From a stamp to its news, the two clocks' difference included: the least seen. */
    private double leastDelay = Double.NaN;

    private record Start(double stamp, double startedMs) {}

    /** Makes a clock that has heard of no engine. */
    public EngineClock(Rules rules) {
        startCapacity = rules.startCapacity();
        warmAfterMs = rules.warmAfterMs();
    }

    /** Takes in a list or changes to one; what is no longer listed is forgotten. */
    public void hear(ListKind kind, List<Member> members, double nowMs) {
        if (kind == ListKind.FAILED) return;
        if (kind != ListKind.CHANGES) starts.keySet().retainAll(members.stream().map(Member::engine).toList());
        boolean first = !listed && kind != ListKind.CHANGES;
        double newest = members.stream().mapToDouble(Member::startedMs).max().orElse(LONG_AGO);
        for (Member member : members) {
            double stamp = member.startedMs();
            Start known = starts.get(member.engine());
            // The same process as before; one that is told as long since started is no news either.
            if (known != null && (stamp == known.stamp() || stamp <= LONG_AGO)) continue;
            double startedMs = LONG_AGO;
            if (stamp > LONG_AGO) {
                startedMs = first ? stamp + shift(member.kind(), members, newest, nowMs) : nowMs - age(stamp, nowMs);
            }
            starts.put(member.engine(), new Start(stamp, startedMs));
        }
        listed = true;
    }

    /** How old an engine is by the news of its start, which may have come later than others did. */
    private double age(double stamp, double nowMs) {
        double delay = nowMs - stamp;
        double later = delay - leastDelay;
        if (later >= 0 && later <= MOST_LATER_MS) return later;
        leastDelay = delay; // the first news, news that came sooner, or clocks that were set meanwhile
        return 0;
    }

    /** What to add to the stamps of a first list to get this node's time. */
    private double shift(int kind, List<Member> members, double newest, double nowMs) {
        double newestAge = nowMs - newest;
        if (newestAge < 0) return newestAge;
        long peers = members.stream().filter(member -> member.kind() == kind).count();
        long cold = members.stream().filter(member -> member.kind() == kind && member.startedMs() > LONG_AGO
                && member.startedMs() > newest - warmAfterMs).count();
        return cold <= MOST_COLD * peers ? newestAge : 0;
    }

    /** Forgets an engine that is gone. */
    public void forget(long engine) {
        starts.remove(engine);
    }

    /** When the present process of an engine started; 0 for long ago. */
    public double startedMs(long engine) {
        Start start = starts.get(engine);
        return start == null ? LONG_AGO : start.startedMs();
    }

    /** True while an engine that started then has not its whole capacity yet. */
    public boolean cold(double startedMs, double nowMs) {
        return startedMs > LONG_AGO && nowMs < startedMs + warmAfterMs;
    }

    /** The share of its capacity that an engine has by its age: the rules tell the start; it grows evenly. */
    public double presentCapacity(double startedMs, double nowMs) {
        if (!cold(startedMs, nowMs)) return 1;
        double age = Math.max(0, nowMs - startedMs) / warmAfterMs;
        return startCapacity + (1 - startCapacity) * Math.min(1, age);
    }
}
