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
 * Records what clients and engines observe, and checks it against the protocol's rules: the test oracle of the soak. It
 * knows nothing of the gateway's code. All times are milliseconds of this process's monotonic clock. Thread-safe.
 */
final class Ledger {
    /** The rules that a gateway must obey. */
    enum Rule {
        FINAL_ANSWER, CONNECTION_CLOSED_OVER_A_REQUEST, WHOLE_STREAM, STREAM_LEFT_OPEN, ONE_EFFECT, REPEAT_GROUP, REFUSAL, ONE_ATTEMPT_OUT, ATTEMPT_LIMIT, DRAIN, HELD_STATE, CLIENT_GONE, TOLD_DEADLINE, UNKNOWN_REQUEST, COLD_OVERLOAD, BAD_CLIENT, READY_IN_TIME, CRASH, SERVICE_AFTER_TROUBLE
    }

    /** How often a request of a class may take effect. */
    enum Repeat {
        PURE, KEYED, UNSAFE
    }

    /** The engines among which repeats of keyed requests are deduplicated. */
    enum Scope {
        ALL, ZONE, CELL
    }

    /** The zone and cell of an engine. */
    record Location(String zone, int cell) {}

    /** The allowance on top of the rules, because the soak's own threads run late on a busy machine. */
    private static final double SCHEDULING_SLACK_MS = 60;
    private static final double DRAIN_GRACE_MS = 300;
    private static final double CLIENT_GONE_GRACE_MS = 100;
    private static final double MAX_OVERLAP_MS = 250; // the proxy may delay bytes, and so a close, for 200 ms
    private static final double FORWARDED_DEADLINE_SLACK_MS = 150;
    private static final double HELD_SLACK_MS = 300;
    private static final double STREAM_END_MS = 5_000; // after the last event of a stream that is not whole
    private static final int MAX_REPORTS_PER_RULE = 3;
    private static final double REFUSAL_TIME_MS = 200; // within which a gateway that is shutting down refuses a request
    private static final double PAUSE_NOTE_WINDOW_MS = 1_000;

    private final double pinLimitMs;
    private final double keyWindowMs;
    private final Scope keyScope;
    private final Map<String, Location> locations = new HashMap<>();
    private final int maxAttempts;
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Double> drainDeliveredMs = new HashMap<>();
    private final Map<String, Long> deliveredVersions = new HashMap<>();
    private final Map<Integer, Attempt> attemptsByConnection = new HashMap<>();
    private final Map<Rule, Integer> breachCounts = new EnumMap<>(Rule.class);
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
        maxAttempts = settings.maxAttempts;
    }

    /** Registers the fixed location of an engine. */
    synchronized void addEngine(String engine, Location location) {
        locations.put(engine, location);
    }

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** A client's request and everything observed about it. */
    static final class Request {
        final String id;
        final Repeat repeat;
        final String gateway;
        final double sentMs;
        final double deadlineMs;
        final List<Attempt> attempts = new ArrayList<>();
        final List<String> timeline = new ArrayList<>();
        /** The engines that hold a state for the request, and since when. */
        final Map<String, Double> held = new HashMap<>();
        /** Number of writes that wait for the state, which no release frees meanwhile. */
        int waitingWrites;
        /** When the last byte was written on the current connection; NaN before that. */
        double fullySentMs = Double.NaN;
        double clientLeftMs = Double.NaN;
        /** When the last part of a stream that is open reached the client; NaN if there is none. */
        double lastEventMs = Double.NaN;
        boolean gatewayKilled;
        /** True if the request arrived long after SIGTERM and the gateway was killed before it sent the due answer. */
        boolean answerWasDue;
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

    /** Two attempts of a request that may have been in flight at the same time. */
    private record Overlap(Attempt earlier, Attempt later) {}

    /** An attempt as observed by its engine. */
    static final class Attempt {
        final Request request;
        final String engine;
        final boolean reader;
        final double beganMs;
        double endedMs = Double.NaN;
        boolean provenNotRun;
        boolean finished;
        boolean disturbed;
        boolean spoilt;
        String streamed = "";

        Attempt(Request request, String engine, boolean reader, double beganMs) {
            this.request = request;
            this.engine = engine;
            this.reader = reader;
            this.beganMs = beganMs;
        }

        boolean inFlight() {
            return Double.isNaN(endedMs);
        }
    }

    synchronized void recordBreach(Rule rule, Request request, String detail) {
        int before = breachCounts.merge(rule, 1, Integer::sum);
        if (before > MAX_REPORTS_PER_RULE) return;
        StringBuilder report = new StringBuilder(rule + ": " + detail + "; " + lag.describeRecent());
        if (request != null) {
            report.append("\n    request ").append(request.id).append(" ").append(request.repeat).append(" at ")
                    .append(request.gateway);
            request.timeline.forEach(line -> report.append("\n      ").append(line));
        }
        reports.add(report.toString());
    }

    synchronized Request requestSent(String id, Repeat repeat, String gateway, double budgetMs) {
        double now = nowMs();
        Request request = new Request(id, repeat, gateway, now, now + budgetMs);
        request.note("sent, deadline " + Math.round(budgetMs));
        requests.put(id, request);
        return request;
    }

    /** Records that a request is being sent on a connection, or that its last byte was written. */
    synchronized void sending(Request request, boolean fullySent) {
        request.fullySentMs = fullySent ? nowMs() : Double.NaN;
    }

    synchronized void note(Request request, String what) {
        request.note(what);
    }

    synchronized void clientLeft(Request request) {
        request.clientLeftMs = nowMs();
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
     * Records that a gateway was killed. Nobody has to release its states or answer its requests any more, except for
     * requests that arrived late enough after SIGTERM: those should have been answered before.
     *
     * @param mustAnswerFromMs requests that were fully sent after this time had to be answered
     */
    synchronized void gatewayKilled(String gateway, double mustAnswerFromMs) {
        double now = nowMs();
        for (Request request : requests.values()) {
            if (!request.gateway.equals(gateway)) continue;
            boolean due = request.fullySentMs > mustAnswerFromMs && request.fullySentMs < now - REFUSAL_TIME_MS;
            request.answerWasDue |= due && !request.gatewayKilled;
            request.gatewayKilled = true;
            request.note("gateway killed");
        }
    }

    /** Notes that the soak paused a gateway, so that a report of a breach shows the cause of a delay. */
    synchronized void gatewayPaused(String gateway, double forMs) {
        double now = nowMs();
        for (Request request : requests.values()) {
            boolean open = request.gateway.equals(gateway) && now < request.deadlineMs + PAUSE_NOTE_WINDOW_MS;
            if (open) request.note("gateway was paused for " + Math.round(forMs) + " ms");
        }
    }

    /** The largest scheduling lag of this process's own threads in the run, in milliseconds. */
    double worstLagMs() {
        return lag.worstMs();
    }

    /** Stops the lag meter. */
    void close() {
        lag.close();
    }

    /** Records that discovery has reported to a gateway that an engine drains, is gone or is in service again. */
    synchronized void delivered(String gateway, String engine, EngineDirectory.Entry entry) {
        String key = gateway + " " + engine;
        // Several threads deliver entries; one that is older than the newest is ignored.
        if (deliveredVersions.merge(key, entry.version(), Math::max) > entry.version()) return;
        if (entry.inService()) drainDeliveredMs.remove(key);
        else drainDeliveredMs.putIfAbsent(key, nowMs());
    }

    synchronized void setReachable(String engine, boolean reachable) {
        if (reachable) unreachable.remove(engine);
        else unreachable.add(engine);
        // States held there can be released only from now on.
        if (!reachable) return;
        for (Request request : requests.values()) {
            if (request.held.containsKey(engine)) request.held.put(engine, nowMs());
        }
    }

    /** Records that an attempt has fully arrived at its engine; returns null if no client sent the request. */
    synchronized Attempt attemptBegan(String id, String engine, boolean reader, double firstByteMs,
            double forwardedDeadlineMs, int connection, boolean networkDelays) {
        Request request = requests.get(id);
        if (request == null) {
            recordBreach(Rule.UNKNOWN_REQUEST, null, id + " at " + engine);
            return null;
        }
        double now = nowMs();
        Attempt attempt = new Attempt(request, engine, reader, now);
        request.note((reader ? "read" : "write") + " begins at " + engine + ", forwarded deadline "
                + Math.round(forwardedDeadlineMs));
        checkAttempt(request, attempt);
        if (!networkDelays) checkTimes(request, attempt, firstByteMs, forwardedDeadlineMs);
        request.attempts.add(attempt);
        attemptsByConnection.put(connection, attempt);
        return attempt;
    }

    private void checkAttempt(Request request, Attempt attempt) {
        if (request.attempts.size() >= maxAttempts)
            recordBreach(Rule.ATTEMPT_LIMIT, request, "one attempt too many at " + attempt.engine);
        for (Attempt other : request.attempts) {
            if (other.inFlight() && !request.gatewayKilled) overlaps.add(new Overlap(other, attempt));
        }
        checkEffect(request, attempt);
    }

    private void checkTimes(Request request, Attempt attempt, double firstByteMs, double forwardedDeadlineMs) {
        if (firstByteMs > request.clientLeftMs + CLIENT_GONE_GRACE_MS + SCHEDULING_SLACK_MS) {
            recordBreach(Rule.CLIENT_GONE, request,
                    "attempt begun " + Math.round(firstByteMs - request.clientLeftMs) + " ms after the client left");
        }
        if (forwardedDeadlineMs > request.deadlineMs - firstByteMs + FORWARDED_DEADLINE_SLACK_MS
                + SCHEDULING_SLACK_MS) {
            recordBreach(Rule.TOLD_DEADLINE, request,
                    "forwarded deadline " + Math.round(forwardedDeadlineMs) + " ms, time left "
                            + Math.round(request.deadlineMs - firstByteMs) + " ms");
        }
        Double drainMs = drainDeliveredMs.get(request.gateway + " " + attempt.engine);
        if (drainMs != null && firstByteMs > drainMs + DRAIN_GRACE_MS + SCHEDULING_SLACK_MS) {
            recordBreach(Rule.DRAIN, request,
                    attempt.engine + " " + Math.round(firstByteMs - drainMs)
                            + " ms after discovery reported it out of service");
        }
    }

    /** After an attempt that may have run, others are allowed only in the repeat scope and window of the class. */
    private void checkEffect(Request request, Attempt attempt) {
        if (request.repeat == Repeat.PURE) return;
        Attempt first = firstThatMayHaveRun(request);
        if (first == null) return;
        boolean inWindow = request.repeat == Repeat.KEYED && attempt.beganMs <= first.beganMs + keyWindowMs
                + SCHEDULING_SLACK_MS;
        if (!inWindow) recordBreach(Rule.ONE_EFFECT, request, "again at " + attempt.engine);
        else if (!inSameScope(first, attempt)) recordBreach(Rule.REPEAT_GROUP, request, "again at " + attempt.engine);
    }

    private static Attempt firstThatMayHaveRun(Request request) {
        return request.attempts.stream().filter(a -> !a.reader && !a.provenNotRun).findFirst().orElse(null);
    }

    private boolean inSameScope(Attempt first, Attempt later) {
        Location firstLocation = locations.get(first.engine);
        Location laterLocation = locations.get(later.engine);
        return switch (keyScope) {
            case ALL -> true;
            case ZONE -> firstLocation.zone().equals(laterLocation.zone());
            case CELL -> firstLocation.cell() == laterLocation.cell();
        };
    }

    /** A refusal promises that a retry is harmless, so that nothing may have run. */
    private void checkRefusal(Request request) {
        boolean deduplicated = request.repeat == Repeat.KEYED && keyScope == Scope.ALL;
        if (request.repeat == Repeat.PURE || deduplicated) return;
        Attempt first = firstThatMayHaveRun(request);
        if (first != null) recordBreach(Rule.REFUSAL, request, "refused although it may have run at " + first.engine);
    }

    synchronized void attemptEnded(Attempt attempt, String how, boolean provenNotRun) {
        if (!attempt.inFlight()) return;
        attempt.endedMs = nowMs();
        attempt.provenNotRun = provenNotRun;
        attempt.request.note((attempt.reader ? "read" : "write") + " at " + attempt.engine + " ends: " + how);
    }

    synchronized void streamed(Attempt attempt, String text, boolean last) {
        attempt.streamed += text;
        attempt.finished |= last;
    }

    /** Records that a stream becomes spoilt now. */
    synchronized void spoilt(Attempt attempt) {
        attempt.spoilt = true;
        attempt.request.note("stream of " + attempt.engine + " spoilt");
    }

    /** Records that a part of a stream, or its head, has reached the client. */
    synchronized void streamArrived(Request request) {
        request.lastEventMs = nowMs();
    }

    /** Records that the client's connection has ended, and checks that a spoilt stream ended in time. */
    synchronized void streamEnded(Request request) {
        checkSpoiltStream(request);
        request.lastEventMs = Double.NaN;
    }

    /** Checks the spoilt streams that are still open at the end of a run. */
    synchronized void checkOpenStreams() {
        requests.values().forEach(this::checkSpoiltStream);
    }

    private void checkSpoiltStream(Request request) {
        double openMs = nowMs() - request.lastEventMs;
        boolean spoilt = request.attempts.stream().anyMatch(attempt -> attempt.spoilt);
        if (request.gatewayKilled || !Double.isNaN(request.clientLeftMs) || !spoilt) return;
        if (openMs > STREAM_END_MS + SCHEDULING_SLACK_MS)
            recordBreach(Rule.STREAM_LEFT_OPEN, request, "spoilt stream open for " + Math.round(openMs) + " ms");
    }

    /** Records that the gateway has closed a connection, whether or not the engine can know. */
    synchronized void connectionClosed(int connection) {
        Attempt attempt = attemptsByConnection.remove(connection);
        if (attempt != null && attempt.inFlight()) attemptEnded(attempt, "closed by the gateway", false);
    }

    /** Records that a connection was silenced or reset: what its engine sends may not arrive. */
    synchronized void connectionDisturbed(int connection) {
        Attempt attempt = attemptsByConnection.get(connection);
        if (attempt == null) return;
        attempt.disturbed = true;
        // The answer does not reach the gateway, so that the rules no longer count the attempt as in flight.
        if (attempt.inFlight()) attemptEnded(attempt, "connection silenced or reset", false);
    }

    /** Records that a reader has read a prompt and holds its state from now on. */
    synchronized void stateHeld(Request request, String engine) {
        request.held.put(engine, nowMs());
        request.note("state held at " + engine);
    }

    /** Records that a writer fetches the state; true if any reader still held it. */
    synchronized boolean stateTaken(Request request, String writer) {
        boolean any = !request.held.isEmpty();
        request.held.clear();
        if (any) request.note("state taken by " + writer);
        return any;
    }

    synchronized void stateReleased(String id) {
        Request request = requests.get(id);
        if (request == null) return;
        if (request.waitingWrites > 0) {
            request.note("release while a write waits for the state");
            return;
        }
        if (!request.held.isEmpty()) request.note("state released");
        request.held.clear();
    }

    /** Records that a write waits at its writer for room. */
    synchronized void writeWaits(Request request) {
        request.waitingWrites++;
    }

    /** Records that a write no longer waits; if it was dropped, the state is held with no attempt in flight from now on. */
    synchronized void writeWaitEnded(Request request) {
        request.waitingWrites--;
        request.held.replaceAll((engine, sinceMs) -> nowMs());
    }

    /** Records that an engine has died, and all states that it held with it. */
    synchronized void engineDied(String engine) {
        for (Request request : requests.values()) {
            request.held.remove(engine);
            for (Attempt attempt : request.attempts) {
                if (attempt.engine.equals(engine) && attempt.inFlight()) attemptEnded(attempt, "engine died", false);
            }
        }
    }

    /** Checks for states held too long with no attempt in flight, and for two attempts in flight at the same time. */
    synchronized void runPeriodicChecks() {
        double now = nowMs();
        checkOverlaps(now);
        for (Request request : requests.values()) {
            if (request.held.isEmpty() || request.gatewayKilled || request.heldReported) continue;
            if (request.waitingWrites > 0) continue;
            if (request.attempts.stream().anyMatch(Attempt::inFlight)) continue;
            double lastEndMs = request.attempts.stream().mapToDouble(a -> a.endedMs).max().orElse(now);
            request.held.forEach((engine, sinceMs) -> {
                double heldMs = now - Math.max(sinceMs, lastEndMs);
                if (unreachable.contains(engine) || heldMs <= pinLimitMs + HELD_SLACK_MS + SCHEDULING_SLACK_MS) return;
                request.heldReported = true;
                recordBreach(Rule.HELD_STATE, request, "at " + engine + " for " + Math.round(heldMs) + " ms");
            });
        }
    }

    /** The end of one attempt and the start of the next arrive on two connections, in either order. */
    private void checkOverlaps(double now) {
        List<Overlap> expired = overlaps.stream().filter(o -> now - o.later().beganMs > 2 * MAX_OVERLAP_MS).toList();
        overlaps.removeAll(expired);
        for (Overlap overlap : expired) {
            Request request = overlap.later().request;
            boolean closedInTime = overlap.earlier().endedMs - overlap.later().beganMs <= MAX_OVERLAP_MS;
            if (closedInTime || request.gatewayKilled) continue;
            recordBreach(Rule.ONE_ATTEMPT_OUT, request,
                    "at " + overlap.earlier().engine + " and " + overlap.later().engine);
        }
    }

    /** True if an attempt of the request has arrived at any engine. */
    synchronized boolean hasBegun(Request request) {
        return !request.attempts.isEmpty();
    }

    /** Checks a whole or broken-off stream that a client received against what the engines sent. */
    synchronized void checkStream(Request request, String text, boolean whole) {
        if (whole && request.attempts.stream().noneMatch(a -> a.streamed.equals(text))) {
            recordBreach(Rule.WHOLE_STREAM, request,
                    "stream ended as complete with " + text.length() + " characters that no engine sent");
        }
        boolean lost = !whole && request.attempts.stream().anyMatch(a -> a.finished && !a.disturbed);
        if (lost && !request.gatewayKilled)
            recordBreach(Rule.WHOLE_STREAM, request, "a stream that the engine had finished was broken off");
    }

    synchronized int breachCount() {
        return breachCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized String summary() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "requests %d served %d refused %d failed %d; broken %s", requests.size(), served, refused, failed,
                breachCounts));
        reports.forEach(report -> text.append("\n  ").append(report));
        return text.toString();
    }
}
