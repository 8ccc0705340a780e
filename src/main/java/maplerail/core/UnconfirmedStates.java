package maplerail.core;

import java.util.List;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.policy.AnswerTimes;
import maplerail.policy.StateLease;

/**
 * Tracks the states that readers may hold although none reported them or although they were released. Each has a
 * {@link StateLease} until a release is answered that was sent when the state could no longer come into being. If a read
 * is in flight when that lease expires, the read is called off, as nothing proves that an engine has taken it.
 */
final class UnconfirmedStates {
    private enum CallOff {
        /** A read was called off because nothing proved that it was in flight while a state may have been held. */
        READ_NOT_PROVEN
    }

    /** How a release before a read ended; without an answer the read is not sent. */
    private enum ReleaseBeforeRead {
        ANSWERED, NOT_ANSWERED
    }

    /** Longest time for which a further attempt waits for the answer to a release. */
    private static final double MAX_RELEASE_WAIT_MS = 100;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final AnswerTimes answerTimes;
    private final double leaseTermMs;
    private final ServiceCounters counters;
    private final LimitedLog log;
    private Consumer<ActiveRequest.Attempt> callOff;

    UnconfirmedStates(EngineTransport transport, EventLoop loop, AnswerTimes answerTimes, double leaseTermMs,
            ServiceCounters counters, LimitedLog log) {
        this.transport = transport;
        this.loop = loop;
        this.answerTimes = answerTimes;
        this.leaseTermMs = leaseTermMs;
        this.counters = counters;
        this.log = log;
    }

    /** Sets the action that calls off a read. */
    void connect(Consumer<ActiveRequest.Attempt> onCallOff) {
        callOff = onCallOff;
    }

    /** A read has ended without an answer, and may have left a state. */
    void onReadUnanswered(ActiveRequest active, ActiveRequest.Attempt read) {
        active.lastUnansweredReadMs = loop.nowMs();
        add(active, read.engine, new StateLease(leaseTermMs, loop.nowMs()));
    }

    /** An attempt has ended. An answer from its engine proves that the attempt was in flight until now. */
    void onAttemptEnded(ActiveRequest active, Router.Outcome outcome) {
        active.unconfirmedStates.values()
                .forEach(state -> state.lease().onAttemptEnded(outcome, loop.inputArrivedAfterMs()));
    }

    /** Adds a state that an engine may hold, in place of an earlier one. */
    void add(ActiveRequest active, long engine, StateLease lease) {
        UnconfirmedState state = new UnconfirmedState(lease, loop.nowMs());
        active.unconfirmedStates.put(engine, state);
        loop.schedule(lease.expiresMs(), () -> onExpired(active, engine, state));
    }

    private void onExpired(ActiveRequest active, long engine, UnconfirmedState state) {
        // Once the request has its answer, or a stream is under way, the repeated releases follow.
        if (active.unconfirmedStates.get(engine) != state || active.answered || active.winner != null) return;
        List<ActiveRequest.Attempt> reads = active.readsInFlight();
        reads.forEach(read -> state.lease().renew(read.provenInFlightMs(answerTimes)));
        if (loop.nowMs() < state.lease().expiresMs()) {
            loop.schedule(state.lease().expiresMs(), () -> onExpired(active, engine, state));
            return;
        }
        add(active, engine, new StateLease(leaseTermMs, loop.nowMs()));
        if (!reads.isEmpty()) logCallOff(active, engine);
        reads.forEach(callOff);
    }

    private void logCallOff(ActiveRequest active, long engine) {
        counters.count(CallOff.READ_NOT_PROVEN);
        log.write(() -> "read of " + active.request.id() + " called off, as a state may be held at "
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
                .anyMatch(engine -> active.lateStates.latestMs(engine) >= loop.nowMs());
        return (mayArise || !active.unconfirmedStates.isEmpty()) && !active.hasAttemptInFlight()
                && active.leases.isEmpty();
    }

    /** Sends a release once, and reports whether the engine has answered it. */
    void releaseBeforeRead(ActiveRequest active, long engine, Consumer<Boolean> onEnded) {
        double startedMs = loop.nowMs();
        transport.release(engine, active.request.id(), startedMs, result -> {
            counters.count(result.answered() ? ReleaseBeforeRead.ANSWERED : ReleaseBeforeRead.NOT_ANSWERED);
            if (result.answered()) {
                answerTimes.record(engine, loop.inputArrivedAfterMs());
                onReleaseAnswered(active, engine, startedMs);
            }
            onEnded.accept(result.answered());
        });
    }

    /** An engine was the first to answer a release: no state is held that existed before the release was started. */
    void onReleaseAnswered(ActiveRequest active, long answering, double startedMs) {
        active.lastAnsweredReleaseMs = Math.max(active.lastAnsweredReleaseMs, startedMs);
        active.unconfirmedStates.entrySet().removeIf(entry -> {
            if (entry.getValue().sinceMs() > startedMs) return false;
            // A reader that answers itself runs, and has taken note of the end of its read. One that does not may be
            // stopped in the middle of it.
            boolean mayStillArise = answering != entry.getKey()
                    && active.lateStates.latestReadMs(entry.getKey()) >= startedMs;
            if (mayStillArise) entry.getValue().lease().renew(startedMs);
            return !mayStillArise;
        });
        if (active.lastAnsweredReleaseMs < active.lastUnansweredReadMs) return;
        List<Runnable> waiters = List.copyOf(active.releaseWaiters);
        active.releaseWaiters.clear();
        waiters.forEach(Runnable::run);
    }
}
