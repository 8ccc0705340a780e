package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.Router;
import maplerail.policy.PriorAttempt;
import maplerail.policy.ProtocolRules;
import maplerail.policy.RequestState;
import maplerail.policy.StateLease;

/** A request that is open: its attempts, its answer and what engines may hold for it. */
final class ActiveRequest {
    /** For which a read may go on that its reader has begun. */
    private static final double READ_MS = 1_600;
    /** After a cut, for which a read may wait in its reader's queue; few deadlines are as long. */
    private static final double MOST_QUEUED_MS = 5_000;

    final long number;
    final ServiceRequest request;
    final Caller caller;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>();
    /** Engines at which a state may wait, and the leases of those that said so. */
    final Set<Long> mayHold = new LinkedHashSet<>();
    final Map<Long, StateLease> holds = new LinkedHashMap<>();
    /** Readers whose states were let go while a write was out that may have waited for them. */
    final Set<Long> reclaimed = new LinkedHashSet<>();
    boolean admitted;
    boolean answered;
    /** When a read was last cut off or broke at an engine, which may read on and hold a state in the end. */
    final Map<Long, Double> cutReadsMs = new LinkedHashMap<>();
    /** Engines at which what a cut read leaves is let go again and again. */
    final Set<Long> repeating = new LinkedHashSet<>();
    /** The attempt whose events the caller gets. */
    Attempt winner;
    Loop.ScheduledTask guard;

    ActiveRequest(long number, ServiceRequest request, Caller caller, double deadlineMs) {
        this.number = number;
        this.request = request;
        this.caller = caller;
        this.deadlineMs = deadlineMs;
    }

    /** What the rules have to know of it, by what really went out and came back. */
    RequestState state(List<Router.RequestClass> classes) {
        Router.RequestClass requestClass = request.kind() < classes.size() ? classes.get(request.kind()) : null;
        return new RequestState(requestClass, answered || winner != null, deadlineMs,
                attempts.stream().map(Attempt::prior).toList());
    }

    boolean anyOut() {
        return attempts.stream().anyMatch(attempt -> !attempt.ended);
    }

    /**
     * Until when a read that was cut off at an engine may end there all the same; never, if none was. One that waits in
     * its queue may begin as long as the time runs that it was told.
     */
    double cutReadMayEndUntilMs(long engine) {
        Double cutMs = cutReadsMs.get(engine);
        if (cutMs == null) return Double.NEGATIVE_INFINITY;
        return Math.max(cutMs, Math.min(deadlineMs, cutMs + MOST_QUEUED_MS)) + READ_MS;
    }

    /** True while an attempt is out whose answer has begun to come. */
    boolean answerBegun() {
        return attempts.stream().anyMatch(attempt -> !attempt.ended && attempt.sending != null
                && (attempt.heardMs > 0 || attempt.sending.answerBegun()));
    }

    /** Each attempt with engine, start, outcome and length, and how far one that is out has come; for the log. */
    String history(double nowMs) {
        double takenMs = deadlineMs - request.budgetMs();
        StringBuilder line = new StringBuilder();
        for (Attempt attempt : attempts) {
            line.append(attempt.reader ? " read " : " write ").append(Long.toHexString(attempt.engine)).append(" at ")
                    .append(Math.round(attempt.sentMs - takenMs)).append(' ')
                    .append(attempt.outcome == null ? "out" : attempt.outcome).append(" in ")
                    .append(Math.round((attempt.ended ? attempt.endedMs : nowMs) - attempt.sentMs));
            if (!attempt.reader && attempt.sending != null)
                line.append(" (").append(attempt.sending.trace()).append(')');
            line.append(';');
        }
        return line.toString();
    }

    /** One attempt. */
    static final class Attempt {
        final ActiveRequest active;
        final int number;
        final long engine;
        /** Its engine as it was listed when the attempt was made. */
        final ProtocolRules.Target target;
        final boolean reader;
        final double sentMs;
        EngineTransport.AttemptHandle sending;
        Loop.ScheduledTask timeout;
        /** When the last event came, and whether its caller asked for a pause. */
        double heardMs;
        boolean paused;
        /** Called off, and left open until what is held for the request can be let go. */
        boolean lingers;
        boolean ended;
        /** How and when it ended. */
        Router.Outcome outcome;
        double endedMs;

        /** As the rules see it. */
        PriorAttempt prior() {
            return new PriorAttempt(target, sentMs, outcome);
        }

        Attempt(ActiveRequest active, long engine, ProtocolRules.Target target, double sentMs) {
            this.active = active;
            this.number = active.attempts.size();
            this.engine = engine;
            this.target = target;
            this.reader = target.role() == Router.Role.READ;
            this.sentMs = sentMs;
        }
    }
}
