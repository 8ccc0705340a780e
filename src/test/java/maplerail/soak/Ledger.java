package maplerail.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What really happened, as clients and engines saw it, and the oracle of the soak: it knows the rules and nothing of the
 * gateway's code. All times are milliseconds of this process's monotonic clock. Safe for use by many threads.
 */
final class Ledger {
    /** What a gateway has to keep. */
    enum Rule {
        FINAL_ANSWER, CONNECTION_CLOSED_OVER_A_REQUEST, WHOLE_STREAM, ONE_EFFECT, REPEAT_GROUP, REFUSAL, ONE_ATTEMPT_OUT, ATTEMPT_LIMIT, DRAIN, HELD_STATE, CLIENT_GONE, TOLD_DEADLINE, UNKNOWN_REQUEST, COLD_OVERLOAD, BAD_CLIENT, READY_IN_TIME, CRASH, SERVICE_AFTER_TROUBLE
    }

    /** How often a class may take effect. */
    enum Repeat {
        PURE, KEYED, UNSAFE
    }

    /** Which engines drop the repeats of keyed work. */
    enum Scope {
        ALL, ZONE, CELL
    }

    /** Where an engine stands. */
    record Place(String zone, int cell) {}

    /** What the soak allows beside the rules, as its own threads run late on a busy machine. */
    private static final double OWN_SLACK_MS = 60;
    private static final double DRAIN_GRACE_MS = 300;
    private static final double CLIENT_GONE_MS = 100;
    private static final double OVERLAP_MS = 250; // the proxy may hold bytes, and so a close, for 200 ms
    private static final double TOLD_SLACK_MS = 150;
    private static final double HELD_SLACK_MS = 300;
    private static final int MOST_TOLD_OF_A_RULE = 3;
    private static final double ANSWER_AT_ONCE_MS = 200; // in which a gateway that ends turns a request away
    private static final double TOLD_STALL_MS = 1_000;

    private final double pinLimitMs;
    private final double keyWindowMs;
    private final Scope keyScope;
    private final Map<String, Place> places = new HashMap<>();
    private final int mostAttempts;
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Double> drainToldMs = new HashMap<>();
    private final Map<String, Long> toldVersions = new HashMap<>();
    private final Map<Integer, Attempt> byConnection = new HashMap<>();
    private final Map<Rule, Integer> broken = new EnumMap<>(Rule.class);
    private final List<String> reports = new ArrayList<>();
    private final List<Overlap> overlaps = new ArrayList<>();
    private final Set<String> unreachable = new HashSet<>();
    private final LagMeter lag = new LagMeter();
    private int served;
    private int refused;
    private int failed;

    Ledger(SoakSettings settings) {
        pinLimitMs = settings.pinLimitMs;
        keyWindowMs = settings.keyWindowMs;
        keyScope = settings.keyScope;
        mostAttempts = settings.mostAttempts;
    }

    /** An engine stands there for good. */
    synchronized void stands(String engine, Place at) {
        places.put(engine, at);
    }

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** A client's request and all that became of it. */
    static final class Request {
        final String id;
        final Repeat repeat;
        final String gateway;
        final double sentMs;
        final double deadlineMs;
        final List<Attempt> attempts = new ArrayList<>();
        final List<String> timeline = new ArrayList<>();
        /** Engines that hold a state for it, and since when. */
        final Map<String, Double> held = new HashMap<>();
        /** When its last byte was written, on the connection that it is sent on now. */
        double wholeMs = Double.NaN;
        double leftMs = Double.NaN;
        boolean ownerKilled;
        /** It came when its gateway had long been told to end, was not answered, and the gateway was killed. */
        boolean answerOwed;
        boolean heldReported;

        Request(String id, Repeat repeat, String gateway, double sentMs, double deadlineMs) {
            this.id = id;
            this.repeat = repeat;
            this.gateway = gateway;
            this.sentMs = sentMs;
            this.deadlineMs = deadlineMs;
        }

        void note(String what) {
            timeline.add(String.format(Locale.ROOT, "%+.0f ms %s", nowMs() - sentMs, what));
        }
    }

    /** Two attempts of a request that may have been out together. */
    private record Overlap(Attempt earlier, Attempt later) {}

    /** An attempt as its engine saw it. */
    static final class Attempt {
        final Request request;
        final String engine;
        final boolean reader;
        final double beganMs;
        double endedMs = Double.NaN;
        boolean neverRan;
        boolean finished;
        boolean disturbed;
        String streamed = "";

        Attempt(Request request, String engine, boolean reader, double beganMs) {
            this.request = request;
            this.engine = engine;
            this.reader = reader;
            this.beganMs = beganMs;
        }

        boolean out() {
            return Double.isNaN(endedMs);
        }
    }

    synchronized void breach(Rule rule, Request request, String detail) {
        int before = broken.merge(rule, 1, Integer::sum);
        if (before > MOST_TOLD_OF_A_RULE) return;
        StringBuilder report = new StringBuilder(rule + ": " + detail + "; " + lag.recent());
        if (request != null) {
            report.append("\n    request ").append(request.id).append(" ").append(request.repeat).append(" at ")
                    .append(request.gateway);
            request.timeline.forEach(line -> report.append("\n      ").append(line));
        }
        reports.add(report.toString());
    }

    synchronized Request sent(String id, Repeat repeat, String gateway, double budgetMs) {
        double now = nowMs();
        Request request = new Request(id, repeat, gateway, now, now + budgetMs);
        request.note("sent, deadline " + Math.round(budgetMs));
        requests.put(id, request);
        return request;
    }

    /** A request is being sent on a connection, or has been to its last byte. */
    synchronized void sending(Request request, boolean whole) {
        request.wholeMs = whole ? nowMs() : Double.NaN;
    }

    synchronized void note(Request request, String what) {
        request.note(what);
    }

    synchronized void left(Request request) {
        request.leftMs = nowMs();
        request.note("client closed");
    }

    synchronized void answered(Request request, String how) {
        request.note("answered: " + how);
        switch (how) {
            case "served" -> served++;
            case "refused" -> {
                refused++;
                checkRefusal(request);
            }
            default -> failed++;
        }
    }

    /**
     * A gateway was killed outright: what it held and owed is nobody's any more, but for the answers to what came late
     * enough after the signal to end.
     */
    synchronized void killed(String gateway, double oweFromMs) {
        double now = nowMs();
        for (Request request : requests.values()) {
            if (!request.gateway.equals(gateway)) continue;
            boolean owed = request.wholeMs > oweFromMs && request.wholeMs < now - ANSWER_AT_ONCE_MS;
            request.answerOwed |= owed && !request.ownerKilled;
            request.ownerKilled = true;
            request.note("gateway killed");
        }
    }

    /** The gateway was held up by the soak: beside a breach, this tells whose delay it was. */
    synchronized void heldUp(String gateway, double forMs) {
        double now = nowMs();
        for (Request request : requests.values()) {
            boolean open = request.gateway.equals(gateway) && now < request.deadlineMs + TOLD_STALL_MS;
            if (open) request.note("gateway was stopped for " + Math.round(forMs) + " ms");
        }
    }

    /** The worst that this process's own threads were late in the run. */
    double worstLagMs() {
        return lag.worstMs();
    }

    /** Ends what it runs itself. */
    void close() {
        lag.close();
    }

    /** Discovery has told a gateway that an engine drains or is gone; or that it is in service again. */
    synchronized void told(String gateway, String engine, Directory.Entry entry) {
        String key = gateway + " " + engine;
        // Several threads tell: what is older than the newest news is none.
        if (toldVersions.merge(key, entry.version(), Math::max) > entry.version()) return;
        if (entry.inService()) drainToldMs.remove(key);
        else drainToldMs.putIfAbsent(key, nowMs());
    }

    synchronized void reach(String engine, boolean reachable) {
        if (reachable) unreachable.remove(engine);
        else unreachable.add(engine);
        // What is held there can be let go only from now on.
        if (!reachable) return;
        for (Request request : requests.values()) {
            if (request.held.containsKey(engine)) request.held.put(engine, nowMs());
        }
    }

    /** The last byte of an attempt has come to its engine; null if no client sent its request. */
    synchronized Attempt began(String id, String engine, boolean reader, double firstByteMs, double toldMs,
            int connection, boolean networkDelays) {
        Request request = requests.get(id);
        if (request == null) {
            breach(Rule.UNKNOWN_REQUEST, null, id + " at " + engine);
            return null;
        }
        double now = nowMs();
        Attempt attempt = new Attempt(request, engine, reader, now);
        request.note((reader ? "read" : "write") + " begins at " + engine + ", told " + Math.round(toldMs));
        check(request, attempt);
        if (!networkDelays) checkTimes(request, attempt, firstByteMs, toldMs);
        request.attempts.add(attempt);
        byConnection.put(connection, attempt);
        return attempt;
    }

    private void check(Request request, Attempt attempt) {
        if (request.attempts.size() >= mostAttempts)
            breach(Rule.ATTEMPT_LIMIT, request, "one more at " + attempt.engine);
        for (Attempt other : request.attempts) {
            if (other.out() && !request.ownerKilled) overlaps.add(new Overlap(other, attempt));
        }
        checkEffect(request, attempt);
    }

    private void checkTimes(Request request, Attempt attempt, double firstByteMs, double toldMs) {
        if (firstByteMs > request.leftMs + CLIENT_GONE_MS + OWN_SLACK_MS) {
            breach(Rule.CLIENT_GONE, request,
                    "begun " + Math.round(firstByteMs - request.leftMs) + " ms after its client left");
        }
        if (toldMs > request.deadlineMs - firstByteMs + TOLD_SLACK_MS + OWN_SLACK_MS) {
            breach(Rule.TOLD_DEADLINE, request, "told " + Math.round(toldMs) + " of "
                    + Math.round(request.deadlineMs - firstByteMs));
        }
        Double told = drainToldMs.get(request.gateway + " " + attempt.engine);
        if (told != null && firstByteMs > told + DRAIN_GRACE_MS + OWN_SLACK_MS) {
            breach(Rule.DRAIN, request, attempt.engine + " " + Math.round(firstByteMs - told) + " ms after the news");
        }
    }

    /** Nothing follows what may have run, or only inside the group and the window of its class. */
    private void checkEffect(Request request, Attempt attempt) {
        if (request.repeat == Repeat.PURE) return;
        Attempt first = firstThatMayHaveRun(request);
        if (first == null) return;
        boolean inWindow = request.repeat == Repeat.KEYED && attempt.beganMs <= first.beganMs + keyWindowMs
                + OWN_SLACK_MS;
        if (!inWindow) breach(Rule.ONE_EFFECT, request, "again at " + attempt.engine);
        else if (!sameGroup(first, attempt)) breach(Rule.REPEAT_GROUP, request, "again at " + attempt.engine);
    }

    private static Attempt firstThatMayHaveRun(Request request) {
        return request.attempts.stream().filter(a -> !a.reader && !a.neverRan).findFirst().orElse(null);
    }

    private boolean sameGroup(Attempt first, Attempt later) {
        Place at = places.get(first.engine);
        Place then = places.get(later.engine);
        return switch (keyScope) {
            case ALL -> true;
            case ZONE -> at.zone().equals(then.zone());
            case CELL -> at.cell() == then.cell();
        };
    }

    /** A refusal promises that trying again is harmless. */
    private void checkRefusal(Request request) {
        boolean dropped = request.repeat == Repeat.KEYED && keyScope == Scope.ALL;
        if (request.repeat == Repeat.PURE || dropped) return;
        Attempt first = firstThatMayHaveRun(request);
        if (first != null) breach(Rule.REFUSAL, request, "though it may have run at " + first.engine);
    }

    synchronized void ended(Attempt attempt, String how, boolean neverRan) {
        if (!attempt.out()) return;
        attempt.endedMs = nowMs();
        attempt.neverRan = neverRan;
        attempt.request.note((attempt.reader ? "read" : "write") + " at " + attempt.engine + " ends: " + how);
    }

    synchronized void streamed(Attempt attempt, String text, boolean last) {
        attempt.streamed += text;
        attempt.finished |= last;
    }

    /** The gateway has closed a connection, whether or not its engine can know. */
    synchronized void connectionGivenUp(int connection) {
        Attempt attempt = byConnection.remove(connection);
        if (attempt != null && attempt.out()) ended(attempt, "given up", false);
    }

    /** The network did something to a connection: what its engine sends may not arrive. */
    synchronized void connectionDisturbed(int connection) {
        Attempt attempt = byConnection.get(connection);
        if (attempt == null) return;
        attempt.disturbed = true;
        // An answer that will not come tells the gateway nothing: to the rules such an attempt is not out.
        if (attempt.out()) ended(attempt, "its connection falls silent", false);
    }

    /** A reader has read a prompt and holds its state from now on. */
    synchronized void held(Request request, String engine) {
        request.held.put(engine, nowMs());
        request.note("state held at " + engine);
    }

    /** A writer fetches the state: true if any reader still held it. */
    synchronized boolean taken(Request request, String writer) {
        boolean any = !request.held.isEmpty();
        request.held.clear();
        if (any) request.note("state taken by " + writer);
        return any;
    }

    synchronized void released(String id) {
        Request request = requests.get(id);
        if (request == null) return;
        if (!request.held.isEmpty()) request.note("state released");
        request.held.clear();
    }

    /** An engine has died, and what it held with it. */
    synchronized void died(String engine) {
        for (Request request : requests.values()) {
            request.held.remove(engine);
            for (Attempt attempt : request.attempts) {
                if (attempt.engine.equals(engine) && attempt.out()) ended(attempt, "engine died", false);
            }
        }
    }

    /** Looks for states that have been held for too long with no attempt out, and for two attempts out together. */
    synchronized void check() {
        double now = nowMs();
        checkOverlaps(now);
        for (Request request : requests.values()) {
            if (request.held.isEmpty() || request.ownerKilled || request.heldReported) continue;
            if (request.attempts.stream().anyMatch(Attempt::out)) continue;
            double lastEndMs = request.attempts.stream().mapToDouble(a -> a.endedMs).max().orElse(now);
            request.held.forEach((engine, sinceMs) -> {
                double heldMs = now - Math.max(sinceMs, lastEndMs);
                if (unreachable.contains(engine) || heldMs <= pinLimitMs + HELD_SLACK_MS + OWN_SLACK_MS) return;
                request.heldReported = true;
                breach(Rule.HELD_STATE, request, "at " + engine + " for " + Math.round(heldMs) + " ms");
            });
        }
    }

    /** The end of one attempt and the start of the next come on two connections, in either order. */
    private void checkOverlaps(double now) {
        List<Overlap> due = overlaps.stream().filter(o -> now - o.later().beganMs > 2 * OVERLAP_MS).toList();
        overlaps.removeAll(due);
        for (Overlap overlap : due) {
            Request request = overlap.later().request;
            boolean closedInTime = overlap.earlier().endedMs - overlap.later().beganMs <= OVERLAP_MS;
            if (closedInTime || request.ownerKilled) continue;
            breach(Rule.ONE_ATTEMPT_OUT, request, "at " + overlap.earlier().engine + " and " + overlap.later().engine);
        }
    }

    /** Whether some engine began the request. */
    synchronized boolean begun(Request request) {
        return !request.attempts.isEmpty();
    }

    /** Checks what a client got as a whole stream, or as one that broke off, against what engines sent. */
    synchronized void checkStream(Request request, String text, boolean whole) {
        if (whole && request.attempts.stream().noneMatch(a -> a.streamed.equals(text))) {
            breach(Rule.WHOLE_STREAM, request,
                    "ended as whole with " + text.length() + " characters that no engine sent");
        }
        boolean lost = !whole && request.attempts.stream().anyMatch(a -> a.finished && !a.disturbed);
        if (lost && !request.ownerKilled) breach(Rule.WHOLE_STREAM, request, "a finished stream was cut");
    }

    synchronized int breaches() {
        return broken.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized String summary() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "requests %d served %d refused %d failed %d; broken %s", requests.size(), served, refused, failed,
                broken));
        reports.forEach(report -> text.append("\n  ").append(report));
        return text.toString();
    }
}
