package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.AnswerTimes;
import maplerail.policy.StateLease;

/**
 * Tracks and releases the states that engines hold, or may hold, for requests. Each state that a reader reported has a
 * {@link StateLease}. When the lease expires, the state is released whatever the decision module does, unless a
 * writer's answer has started. {@link UnconfirmedStates} tracks the others. Releases are repeated for a while where one
 * may come too early for a state.
 */
final class HeldStates {
    /** Why a state was released. */
    enum Reason {
        /** The request is over or no longer needs the state, and no attempt is in flight. */
        NO_LONGER_NEEDED,
        /** The module gave up on the write that was to fetch the state. */
        WRITE_DOUBTED,
        /** The lease expired without an answer from a writer. */
        LEASE_EXPIRED,
        /** A called-off read may have finished meanwhile, or a writer may have waited for the state until now. */
        LEFT_BY_CUT_READ
    }

    /** How a release ended. */
    private enum Release {
        ANSWERED, ANSWERED_LATE, NEVER_ANSWERED, WITHHELD
    }

    private static final double LEASE_SLACK_MS = 300; // added to the lease term by the protocol rules for sockets
    /** Delay of the first repeated release: an engine has seen most closes of connections by then. */
    private static final double FIRST_RELEASE_REPEAT_MS = 120;
    /** Interval of repeated releases, in lease terms: the state of a read that ends in between is released in time. */
    private static final double RELEASE_REPEAT_TERMS = 0.7;
    /** How long a release is retried, in lease terms: an engine that becomes reachable again still holds the state. */
    private static final double RELEASE_RETRY_TERMS = 4;
    private static final double LATE_RELEASE_ANSWER_MS = 100; // answers to releases that take longer are logged

    private final EngineTransport transport;
    private final EventLoop loop;
    private final Fleet fleet;
    private final AnswerTimes answerTimes;
    private final double leaseTermMs;
    private final RuleMonitor monitor;
    private final ServiceCounters counters;
    private final LimitedLog log;
    private final UnconfirmedStates unconfirmedStates;
    /** Requests with repeated releases, by id. */
    private final Map<String, ActiveRequest> repeating = new HashMap<>();
    private int releasesInFlight;
    private int scheduledRepeats;

    HeldStates(EngineTransport transport, EventLoop loop, Fleet fleet, AnswerTimes answerTimes, double leaseTermMs,
            RuleMonitor monitor, ServiceCounters counters, Consumer<String> log) {
        this.transport = transport;
        this.loop = loop;
        this.fleet = fleet;
        this.answerTimes = answerTimes;
        this.leaseTermMs = leaseTermMs;
        this.monitor = monitor;
        this.counters = counters;
        this.log = new LimitedLog(loop, log);
        this.unconfirmedStates = new UnconfirmedStates(transport, loop, answerTimes, leaseTermMs, counters, this.log);
    }

    /** The states that may be held although no reader reported them or although they were released. */
    UnconfirmedStates unconfirmed() {
        return unconfirmedStates;
    }

    /**
     * A request is open. If it has run before, the repeated releases of that run end, as they could free what this one
     * needs; they are sent again when this one no longer needs it.
     */
    void onOpened(ActiveRequest active) {
        ActiveRequest earlier = repeating.remove(active.request.id());
        if (earlier != null) active.supersede(earlier);
    }

    /**
     * A reader reported that it holds a state. The lease starts at the earliest time at which its answer can have
     * arrived, as the answer may have waited unread.
     */
    void onStateHeld(ActiveRequest active, long engine) {
        StateLease lease = new StateLease(leaseTermMs, loop.inputArrivedAfterMs());
        active.leases.put(engine, lease);
        active.possibleHolders.add(engine);
        loop.schedule(lease.expiresMs(), () -> onLeaseExpired(active, engine, lease));
    }

    /** A read has ended without an answer: its state may be held, for an unknown time. */
    void onReadUnanswered(ActiveRequest active, ActiveRequest.Attempt read) {
        active.possibleHolders.add(read.engine);
        unconfirmedStates.onReadUnanswered(active, read);
        log.write(() -> "read of " + active.request.id() + " at " + Long.toHexString(read.engine) + " ended "
                + read.outcome
                + " after " + Math.round(loop.nowMs() - read.sentMs) + " ms, " + read.handle.trace());
    }

    /** An attempt has ended. An answer from its engine proves that the attempt was in flight until now. */
    void onAttemptEnded(ActiveRequest active, Router.Outcome outcome) {
        active.leases.values().forEach(lease -> lease.onAttemptEnded(outcome, loop.inputArrivedAfterMs()));
        unconfirmedStates.onAttemptEnded(active, outcome);
        if (active.hasAttemptInFlight()) return;
        // If the write did arrive, its reader keeps the state for it: the lease starts when the write ends.
        if (outcome != Router.Outcome.STATE_GONE)
            active.reclaimedEngines.forEach(engine -> onStateHeld(active, engine));
        active.reclaimedEngines.clear();
    }

    /** A stream has started, which frees the held states, except those for which releases may come too early. */
    void onStreamStarted(ActiveRequest active) {
        active.possibleHolders.removeIf(engine -> !active.lateStates.contains(engine));
        active.leases.clear();
        active.unconfirmedStates.clear();
        active.reclaimedEngines.clear();
    }

    private void onLeaseExpired(ActiveRequest active, long engine, StateLease lease) {
        if (active.leases.get(engine) != lease) return;
        if (loop.nowMs() < lease.expiresMs()) {
            loop.schedule(lease.expiresMs(), () -> onLeaseExpired(active, engine, lease));
        } else if (active.responseStarted()) {
            loop.schedule(loop.nowMs() + leaseTermMs, () -> onLeaseExpired(active, engine, lease));
        } else {
            releaseState(active, engine, Reason.LEASE_EXPIRED);
        }
    }

    /** Releases all states that may be held, unless an attempt is in flight that may need them. */
    void release(ActiveRequest active) {
        if (active.hasAttemptInFlight()) return;
        for (long engine : List.copyOf(active.possibleHolders)) releaseState(active, engine, Reason.NO_LONGER_NEEDED);
    }

    /** Releases all states that readers reported, even if an attempt is in flight that may need them. */
    void reclaim(ActiveRequest active) {
        for (long engine : List.copyOf(active.leases.keySet())) releaseState(active, engine, Reason.WRITE_DOUBTED);
    }

    /** Number of releases that are unanswered or still to be sent, including those of closed requests. */
    int pendingReleases() {
        return releasesInFlight + scheduledRepeats;
    }

    private void releaseState(ActiveRequest active, long engine, Reason reason) {
        StateLease lease = active.leases.remove(engine);
        if (active.hasAttemptInFlight()) active.reclaimedEngines.add(engine);
        else if (loop.nowMs() > active.lateStates.latestMs(engine)) active.possibleHolders.remove(engine);
        counters.count(reason);
        if (lease != null) {
            checkHoldTime(active, engine, lease);
            unconfirmedStates.add(active, engine, lease);
        }
        if (lease != null && reason != Reason.NO_LONGER_NEEDED) logRelease(active, engine, reason, lease);
        if (lease == null) logLateRelease(active, engine);
        sendRelease(active, engine, loop.nowMs() + RELEASE_RETRY_TERMS * leaseTermMs, () -> !active.superseded);
        startRepeats(active, engine);
    }

    private void checkHoldTime(ActiveRequest active, long engine, StateLease lease) {
        double heldMs = loop.nowMs() - lease.termStartMs();
        if (heldMs <= leaseTermMs + LEASE_SLACK_MS) return;
        monitor.report(Breach.STATE_HELD, active.request.id(), "at " + Long.toHexString(engine) + " for "
                + Math.round(heldMs) + " ms");
    }

    private void logRelease(ActiveRequest active, long engine, Reason reason, StateLease lease) {
        log.write(() -> "state of " + active.request.id() + " at " + Long.toHexString(engine) + " released (" + reason
                + ") after " + Math.round(loop.nowMs() - lease.termStartMs()) + " ms;" + active.history(loop.nowMs()));
    }

    /**
     * Logs a late first release after an aborted read, whose state may have been held since.
     */
    private void logLateRelease(ActiveRequest active, long engine) {
        double sinceAbortMs = loop.nowMs() - active.lateStates.unansweredReadMs(engine);
        if (!(sinceAbortMs > leaseTermMs)) return;
        log.write(() -> "release of " + active.request.id() + " at " + Long.toHexString(engine) + " first sent "
                + Math.round(sinceAbortMs) + " ms after its read was aborted;" + active.history(loop.nowMs()));
    }

    private void logWithheld(ActiveRequest active, long engine) {
        counters.count(Release.WITHHELD);
        log.write(() -> "release of " + active.request.id() + " at " + Long.toHexString(engine) + " withheld, "
                + active.leases.size() + " states reported;" + active.history(loop.nowMs()));
    }

    private void sendRelease(ActiveRequest active, long engine, double deadlineMs, BooleanSupplier mayRetry) {
        releasesInFlight++;
        newRelease(active, engine, deadlineMs, mayRetry,
                (answering, startedMs) -> unconfirmedStates.onReleaseAnswered(active, answering, startedMs), result -> {
                    releasesInFlight--;
                    onReleaseEnded(active.request.id(), engine, result);
                }).start();
    }

    private StateRelease newRelease(ActiveRequest active, long engine, double deadlineMs, BooleanSupplier mayRetry,
            StateRelease.FirstAnswerListener onAnswered,
            Consumer<EngineTransport.ReleaseResult> onHolderDone) {
        return new StateRelease(transport, loop, fleet, answerTimes, active, engine, deadlineMs, mayRetry, onAnswered,
                onHolderDone);
    }

    private void onReleaseEnded(String id, long engine, EngineTransport.ReleaseResult result) {
        boolean late = result.durationMs() > LATE_RELEASE_ANSWER_MS;
        Release kind = late ? Release.ANSWERED_LATE : Release.ANSWERED;
        counters.count(result.answered() ? kind : Release.NEVER_ANSWERED);
        if (result.answered() && !late) return;
        log.write(() -> "release of " + id + " at " + Long.toHexString(engine) + (result.answered() ? "" : " not")
                + " answered, " + result.tries() + " tries in " + Math.round(result.durationMs()) + " ms");
    }

    /**
     * Starts repeating releases to an engine while one may come too early. Guards against a release that overtakes the
     * close of a connection, and against a reader that continues a read which was called off: it then holds the state
     * like any other, even if the request has continued elsewhere and ends long after that.
     */
    private void startRepeats(ActiveRequest active, long engine) {
        if (!active.repeatingReleases.add(engine)) return;
        scheduledRepeats++;
        repeating.put(active.request.id(), active);
        scheduleRepeat(active, engine, loop.nowMs() + FIRST_RELEASE_REPEAT_MS);
    }

    private void scheduleRepeat(ActiveRequest active, long engine, double atMs) {
        if (active.superseded || atMs > active.lateStates.latestMs(engine) + RELEASE_REPEAT_TERMS * leaseTermMs) {
            endRepeats(active, engine);
            return;
        }
        loop.schedule(atMs, () -> {
            repeatRelease(active, engine);
            scheduleRepeat(active, engine, loop.nowMs() + RELEASE_REPEAT_TERMS * leaseTermMs);
        });
    }

    private void endRepeats(ActiveRequest active, long engine) {
        active.repeatingReleases.remove(engine);
        scheduledRepeats--;
        if (active.repeatingReleases.isEmpty()) repeating.remove(active.request.id(), active);
    }

    private void repeatRelease(ActiveRequest active, long engine) {
        // A release frees everything that is held for the request, including the state of another reader.
        if (active.needsHeldStates()) {
            logWithheld(active, engine);
            return;
        }
        counters.count(Reason.LEFT_BY_CUT_READ);
        sendRelease(active, engine, loop.nowMs() + leaseTermMs, () -> !active.needsHeldStates());
    }

    /**
     * Releases the states of an answered request while an attempt is in flight. Runs a task at each answered release.
     */
    void releaseWhileInFlight(ActiveRequest active, double deadlineMs, Runnable onAnswered) {
        for (long engine : List.copyOf(active.leases.keySet()))
            newRelease(active, engine, deadlineMs, () -> true, (answering, startedMs) -> onAnswered.run(), result -> {})
                    .start();
    }
}
