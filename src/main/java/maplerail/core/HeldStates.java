package maplerail.core;

import java.util.List;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.AnswerTimes;
import maplerail.policy.StateLease;

/**
 * Tracks and releases the states that engines hold, or may hold, for requests. Each state that a reader reported has a
 * {@link StateLease}. When the lease expires, the state is released whatever the decision module does, unless a
 * writer's answer has started. A state that may exist has a lease too, until a release is answered that was sent when
 * it could no longer come into being. If a read is in flight when that lease expires, the read is called off first, as
 * nothing proves that an engine has taken it. Releases are repeated for a while where an aborted read may leave a state.
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
        /** An aborted read may have finished meanwhile. */
        LEFT_BY_CUT_READ,
        /** A read was called off because nothing proved that it was in flight while a state may have been held. */
        READ_NOT_PROVEN
    }

    /** How a release ended. */
    private enum Release {
        ANSWERED, ANSWERED_LATE, NEVER_ANSWERED, WITHHELD
    }

    private static final double LEASE_SLACK_MS = 300; // added to the lease term by the protocol rules for sockets
    /** Delay of the first repeated release, for a state that a reader holds because it finished an aborted read. */
    private static final double FIRST_RELEASE_REPEAT_MS = 120;
    /** Interval of repeated releases, in lease terms: the state of a read that ends in between is released in time. */
    private static final double RELEASE_REPEAT_TERMS = 0.7;
    /** How long a release is retried, in lease terms: an engine that becomes reachable again still holds the state. */
    private static final double RELEASE_RETRY_TERMS = 4;
    private static final double LATE_RELEASE_ANSWER_MS = 100; // answers to releases that take longer are logged
    /** Longest time for which a further attempt waits for the answer to a release. */
    private static final double MAX_RELEASE_WAIT_MS = 100;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final Fleet fleet;
    private final AnswerTimes answerTimes;
    private final double leaseTermMs;
    private final RuleMonitor monitor;
    private final ServiceCounters counters;
    private final Consumer<String> log;
    private final LogRateLimiter logLimit;
    private int releasesInFlight;
    private int scheduledRepeats;
    private Consumer<ActiveRequest.Attempt> callOff;

    HeldStates(EngineTransport transport, EventLoop loop, Fleet fleet, AnswerTimes answerTimes, double leaseTermMs,
            RuleMonitor monitor, ServiceCounters counters, Consumer<String> log) {
        this.transport = transport;
        this.loop = loop;
        this.fleet = fleet;
        this.answerTimes = answerTimes;
        this.leaseTermMs = leaseTermMs;
        this.monitor = monitor;
        this.counters = counters;
        this.log = log;
        this.logLimit = new LogRateLimiter(loop);
    }

    /** Sets the action that calls off a read. */
    void connect(Consumer<ActiveRequest.Attempt> onCallOff) {
        callOff = onCallOff;
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
        active.lastUnansweredReadMs = loop.nowMs();
        addUnconfirmed(active, read.engine, new StateLease(leaseTermMs, loop.nowMs()));
        if (!mayLog()) return;
        log.accept("read of " + active.request.id() + " at " + Long.toHexString(read.engine) + " ended " + read.outcome
                + " after " + Math.round(loop.nowMs() - read.sentMs) + " ms, " + read.handle.trace());
    }

    /** An attempt has ended. An answer from its engine proves that the attempt was in flight until now. */
    void onAttemptEnded(ActiveRequest active, Router.Outcome outcome) {
        active.leases.values().forEach(lease -> lease.onAttemptEnded(outcome, loop.inputArrivedAfterMs()));
        active.unconfirmedStates.values()
                .forEach(state -> state.lease().onAttemptEnded(outcome, loop.inputArrivedAfterMs()));
        if (active.hasAttemptInFlight()) return;
        // If the write did arrive, its reader keeps the state for it: the lease starts when the write ends.
        if (outcome != Router.Outcome.STATE_GONE)
            active.reclaimedEngines.forEach(engine -> onStateHeld(active, engine));
        active.reclaimedEngines.clear();
    }

    /** A stream has started, which frees the held states, except those that aborted reads may still leave. */
    void onStreamStarted(ActiveRequest active) {
        active.possibleHolders.retainAll(active.abortedReadTimesMs.keySet());
        active.leases.clear();
        active.unconfirmedStates.clear();
        active.reclaimedEngines.clear();
    }

    private void addUnconfirmed(ActiveRequest active, long engine, StateLease lease) {
        UnconfirmedState state = new UnconfirmedState(lease, loop.nowMs());
        active.unconfirmedStates.put(engine, state);
        loop.schedule(lease.expiresMs(), () -> onUnconfirmedExpired(active, engine, state));
    }

    private void onUnconfirmedExpired(ActiveRequest active, long engine, UnconfirmedState state) {
        // Once the request has its answer, or a stream is under way, the repeated releases follow.
        if (active.unconfirmedStates.get(engine) != state || active.answered || active.winner != null) return;
        List<ActiveRequest.Attempt> reads = active.readsInFlight();
        reads.forEach(read -> state.lease().renew(read.provenInFlightMs(answerTimes)));
        if (loop.nowMs() < state.lease().expiresMs()) {
            loop.schedule(state.lease().expiresMs(), () -> onUnconfirmedExpired(active, engine, state));
            return;
        }
        addUnconfirmed(active, engine, new StateLease(leaseTermMs, loop.nowMs()));
        if (!reads.isEmpty()) logCallOff(active, engine);
        reads.forEach(callOff);
    }

    private void logCallOff(ActiveRequest active, long engine) {
        counters.count(Reason.READ_NOT_PROVEN);
        if (!mayLog()) return;
        log.accept("read of " + active.request.id() + " called off, as a state may be held at "
                + Long.toHexString(engine) + ";" + active.history(loop.nowMs()));
    }

    /**
     * Runs a task that may lead to a further attempt: at once, or, if the last read ended without an answer, once a
     * release sent after it is answered, as a release that arrives later makes a further read useless. The wait is
     * bounded; then the lease of the state that may be held limits the further read.
     */
    void afterRelease(ActiveRequest active, Runnable task) {
        boolean released = active.lastAnsweredReleaseMs >= active.lastUnansweredReadMs;
        if (released || active.answered || active.hasAttemptInFlight() || !active.leases.isEmpty()) {
            task.run();
            return;
        }
        active.releaseWaiters.add(task);
        loop.schedule(loop.nowMs() + MAX_RELEASE_WAIT_MS, () -> {
            if (active.releaseWaiters.remove(task)) task.run();
        });
    }

    /**
     * Whether a read has to be preceded by a release at its own reader, as an earlier read may leave a state: its
     * answer proves that the reader runs. A read at a stopped reader would not be in flight, and the state pinned.
     */
    boolean mustReleaseBeforeRead(ActiveRequest active) {
        boolean mayArise = active.possibleHolders.stream()
                .anyMatch(engine -> active.latestAbortedReadEndMs(engine) >= loop.nowMs());
        return (mayArise || !active.unconfirmedStates.isEmpty()) && !active.hasAttemptInFlight()
                && active.leases.isEmpty();
    }

    /** Sends a release once, and reports whether the engine has answered it. */
    void releaseBeforeRead(ActiveRequest active, long engine, Consumer<Boolean> onEnded) {
        double startedMs = loop.nowMs();
        transport.release(engine, active.request.id(), startedMs, result -> {
            if (result.answered()) {
                answerTimes.record(engine, loop.inputArrivedAfterMs());
                onReleaseAnswered(active, engine, startedMs);
            }
            onEnded.accept(result.answered());
        });
    }

    private void onReleaseAnswered(ActiveRequest active, long answering, double startedMs) {
        active.lastAnsweredReleaseMs = Math.max(active.lastAnsweredReleaseMs, startedMs);
        active.unconfirmedStates.entrySet().removeIf(entry -> {
            if (entry.getValue().sinceMs() > startedMs) return false;
            // A reader that answers itself runs, and has taken note of the end of its read. One that does not may be
            // stopped in the middle of it.
            boolean mayStillArise = answering != entry.getKey()
                    && active.latestAbortedReadEndMs(entry.getKey()) >= startedMs;
            if (mayStillArise) entry.getValue().lease().renew(startedMs);
            return !mayStillArise;
        });
        if (active.lastAnsweredReleaseMs < active.lastUnansweredReadMs) return;
        List<Runnable> waiters = List.copyOf(active.releaseWaiters);
        active.releaseWaiters.clear();
        waiters.forEach(Runnable::run);
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
        else if (loop.nowMs() > active.latestAbortedReadEndMs(engine)) active.possibleHolders.remove(engine);
        counters.count(reason);
        if (lease != null) {
            checkHoldTime(active, engine, lease);
            addUnconfirmed(active, engine, lease);
        }
        if (lease != null && reason != Reason.NO_LONGER_NEEDED) logRelease(active, engine, reason, lease);
        if (lease == null) logLateRelease(active, engine);
        sendRelease(active, engine, loop.nowMs() + RELEASE_RETRY_TERMS * leaseTermMs);
        startRepeats(active, engine);
    }

    private void checkHoldTime(ActiveRequest active, long engine, StateLease lease) {
        double heldMs = loop.nowMs() - lease.termStartMs();
        if (heldMs <= leaseTermMs + LEASE_SLACK_MS) return;
        monitor.report(Breach.STATE_HELD, active.request.id(), "at " + Long.toHexString(engine) + " for "
                + Math.round(heldMs) + " ms");
    }

    private void logRelease(ActiveRequest active, long engine, Reason reason, StateLease lease) {
        if (!mayLog()) return;
        log.accept("state of " + active.request.id() + " at " + Long.toHexString(engine) + " released (" + reason
                + ") after " + Math.round(loop.nowMs() - lease.termStartMs()) + " ms;" + active.history(loop.nowMs()));
    }

    /**
     * Logs a late first release after an aborted read. The state that such a read may leave has no lease and is not
     * released before the attempts that followed have ended.
     */
    private void logLateRelease(ActiveRequest active, long engine) {
        double sinceAbortMs = loop.nowMs() - active.abortedReadTimesMs.getOrDefault(engine, loop.nowMs());
        if (sinceAbortMs <= leaseTermMs || !mayLog()) return;
        log.accept("release of " + active.request.id() + " at " + Long.toHexString(engine) + " first sent "
                + Math.round(sinceAbortMs) + " ms after its read was aborted;" + active.history(loop.nowMs()));
    }

    private void logWithheld(ActiveRequest active, long engine) {
        counters.count(Release.WITHHELD);
        if (!mayLog()) return;
        log.accept("release of " + active.request.id() + " at " + Long.toHexString(engine) + " withheld, "
                + active.leases.size() + " states reported;" + active.history(loop.nowMs()));
    }

    private boolean mayLog() {
        logLimit.rollWindow(); // the number of dropped lines follows from the counters
        return logLimit.tryAcquire();
    }

    private void sendRelease(ActiveRequest active, long engine, double deadlineMs) {
        releasesInFlight++;
        newRelease(active, engine, deadlineMs,
                (answering, startedMs) -> onReleaseAnswered(active, answering, startedMs), result -> {
                    releasesInFlight--;
                    onReleaseEnded(active.request.id(), engine, result);
                }).start();
    }

    private StateRelease newRelease(ActiveRequest active, long engine, double deadlineMs,
            StateRelease.FirstAnswerListener onAnswered,
            Consumer<EngineTransport.ReleaseResult> onHolderDone) {
        return new StateRelease(transport, loop, fleet, answerTimes, active, engine, deadlineMs, onAnswered,
                onHolderDone);
    }

    private void onReleaseEnded(String id, long engine, EngineTransport.ReleaseResult result) {
        boolean late = result.durationMs() > LATE_RELEASE_ANSWER_MS;
        Release kind = late ? Release.ANSWERED_LATE : Release.ANSWERED;
        counters.count(result.answered() ? kind : Release.NEVER_ANSWERED);
        if (result.answered() && !late || !mayLog()) return;
        log.accept("release of " + id + " at " + Long.toHexString(engine) + (result.answered() ? "" : " not")
                + " answered, " + result.tries() + " tries in " + Math.round(result.durationMs()) + " ms");
    }

    /**
     * Starts repeating releases to an engine. Guards against a release that overtakes the close of a connection, and
     * against a reader that continues an aborted read: it then holds the state like any other, even if the request has
     * continued elsewhere and ends long after the abort.
     */
    private void startRepeats(ActiveRequest active, long engine) {
        if (!active.repeatingReleases.add(engine)) return;
        scheduledRepeats++;
        scheduleRepeat(active, engine, loop.nowMs() + FIRST_RELEASE_REPEAT_MS);
    }

    private void scheduleRepeat(ActiveRequest active, long engine, double atMs) {
        if (atMs > active.latestAbortedReadEndMs(engine) + RELEASE_REPEAT_TERMS * leaseTermMs) {
            active.repeatingReleases.remove(engine);
            scheduledRepeats--;
            return;
        }
        loop.schedule(atMs, () -> {
            // A release frees everything that is held for the request, including the state of another reader.
            if (active.needsHeldStates()) {
                logWithheld(active, engine);
            } else {
                counters.count(Reason.LEFT_BY_CUT_READ);
                sendRelease(active, engine, loop.nowMs() + leaseTermMs);
            }
            scheduleRepeat(active, engine, loop.nowMs() + RELEASE_REPEAT_TERMS * leaseTermMs);
        });
    }

    /**
     * Releases the states of an answered request while an attempt is in flight. Runs a task at each answered release.
     */
    void releaseWhileInFlight(ActiveRequest active, double deadlineMs, Runnable onAnswered) {
        for (long engine : List.copyOf(active.leases.keySet()))
            newRelease(active, engine, deadlineMs, (answering, startedMs) -> onAnswered.run(), result -> {}).start();
    }
}
