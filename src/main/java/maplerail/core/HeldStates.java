package maplerail.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.StateLease;

/**
 * What engines hold, or may hold, for requests. Each state that a reader reported has a {@link StateLease}; at its end the
 * state is let go whatever the decision module does, unless a writer's answer has begun. What a read that was cut off may
 * leave is let go again and again for a while.
 */
final class HeldStates {
    /** Why a state was let go. */
    enum Reason {
        /** Its request is over, or goes on without it, and no attempt is out. */
        NO_LONGER_NEEDED,
        /** The module gave up on the write that was to fetch it. */
        WRITE_DOUBTED,
        /** Its lease ran out with no answer of a writer. */
        LEASE_EXPIRED,
        /** A read that was cut off may have ended meanwhile. */
        LEFT_BY_CUT_READ
    }

    /** How releases ended. */
    private enum Release {
        ANSWERED, ANSWERED_LATE, NEVER_ANSWERED
    }

    private static final double SLACK_MS = 300; // that the rules on sockets add to the limit on what is held
    /** After a release, when what a cut reader finished all the same is next let go. */
    private static final double FIRST_REPEAT_MS = 120;
    /** Between two of these, in lease terms, so that a read which ends in between is let go within the limit. */
    private static final double REPEAT_TERMS = 0.7;
    /** For which a release is tried, in lease terms: an engine that comes back into reach later still holds the state. */
    private static final double RETRY_TERMS = 4;
    private static final double LATE_MS = 100; // after which an answer to a release is worth a line

    private final EngineTransport engines;
    private final Loop loop;
    private final double termMs;
    private final RuleMonitor monitor;
    private final ServiceCounters counters;
    private final Consumer<String> log;
    private final LineLimit limit;
    private int releasesUnderWay;
    private int repeatsToCome;

    HeldStates(EngineTransport engines, Loop loop, double termMs, RuleMonitor monitor, ServiceCounters counters,
            Consumer<String> log) {
        this.engines = engines;
        this.loop = loop;
        this.termMs = termMs;
        this.monitor = monitor;
        this.counters = counters;
        this.log = log;
        this.limit = new LineLimit(loop);
    }

    /** A reader says that it holds a state. Its answer may have lain unread: the lease begins when it can have come. */
    void granted(ActiveRequest active, long engine) {
        StateLease lease = new StateLease(termMs, loop.inputArrivedAfterMs());
        active.holds.put(engine, lease);
        active.mayHold.add(engine);
        loop.schedule(lease.expiresMs(), () -> expired(active, engine, lease));
    }

    /**
     * A read has ended with no answer: its state may be held, and since when is not known. Told where that can be longer
     * than a lease lasts, as no lease runs for it.
     */
    void unanswered(ActiveRequest active, ActiveRequest.Attempt read) {
        active.mayHold.add(read.engine);
        double outMs = loop.nowMs() - read.sentMs;
        if (outMs <= termMs || !admitsLine()) return;
        log.accept("read of " + active.request.id() + " at " + Long.toHexString(read.engine) + " ended " + read.outcome
                + " after " + Math.round(outMs) + " ms, " + read.sending.trace());
    }

    /** An attempt has ended: an answer of its engine proves that it was out until now. */
    void attemptEnded(ActiveRequest active, Router.Outcome outcome) {
        active.holds.values().forEach(lease -> lease.onAttemptEnded(outcome, loop.inputArrivedAfterMs()));
        if (active.anyOut()) return;
        // An engine keeps what a write waits for that has arrived after all: its time begins with the end of that.
        if (outcome != Router.Outcome.STATE_GONE) active.reclaimed.forEach(engine -> granted(active, engine));
        active.reclaimed.clear();
    }

    /** A stream has begun: what was held goes with that, but not what a reader that was cut off holds later. */
    void taken(ActiveRequest active) {
        active.mayHold.retainAll(active.cutReadsMs.keySet());
        active.holds.clear();
        active.reclaimed.clear();
    }

    private void expired(ActiveRequest active, long engine, StateLease lease) {
        if (active.holds.get(engine) != lease) return;
        if (loop.nowMs() < lease.expiresMs()) {
            loop.schedule(lease.expiresMs(), () -> expired(active, engine, lease));
        } else if (active.answerBegun()) {
            loop.schedule(loop.nowMs() + termMs, () -> expired(active, engine, lease));
        } else {
            letGo(active, engine, Reason.LEASE_EXPIRED);
        }
    }

    /** Lets go of all that may be held, if no attempt is out that may wait for it. */
    void release(ActiveRequest active) {
        if (active.anyOut()) return;
        for (long engine : List.copyOf(active.mayHold)) letGo(active, engine, Reason.NO_LONGER_NEEDED);
    }

    /** Lets go of what readers said that they hold, though an attempt is out that may wait for it. */
    void reclaim(ActiveRequest active) {
        for (long engine : List.copyOf(active.holds.keySet())) letGo(active, engine, Reason.WRITE_DOUBTED);
    }

    /** Releases that have not been answered or are still to be sent, of requests that may be over. */
    int unfinished() {
        return releasesUnderWay + repeatsToCome;
    }

    private void letGo(ActiveRequest active, long engine, Reason reason) {
        StateLease lease = active.holds.remove(engine);
        if (active.anyOut()) active.reclaimed.add(engine);
        else if (loop.nowMs() > active.cutReadMayEndUntilMs(engine)) active.mayHold.remove(engine);
        counters.count(reason);
        if (lease != null) check(active, engine, lease);
        if (lease != null && reason != Reason.NO_LONGER_NEEDED) tell(active, engine, reason, lease);
        if (lease == null) tellLate(active, engine);
        send(active, engine, loop.nowMs() + RETRY_TERMS * termMs);
        repeat(active, engine);
    }

    private void check(ActiveRequest active, long engine, StateLease lease) {
        double heldMs = loop.nowMs() - lease.termStartMs();
        if (heldMs <= termMs + SLACK_MS) return;
        monitor.breach(Breach.STATE_HELD, active.request.id(), "at " + Long.toHexString(engine) + " for "
                + Math.round(heldMs) + " ms");
    }

    private void tell(ActiveRequest active, long engine, Reason reason, StateLease lease) {
        if (!admitsLine()) return;
        log.accept("state of " + active.request.id() + " at " + Long.toHexString(engine) + " let go (" + reason
                + ") after " + Math.round(loop.nowMs() - lease.termStartMs()) + " ms;" + active.history(loop.nowMs()));
    }

    /** What a cut read may have left has no lease, and waits for the end of the attempts that followed. */
    private void tellLate(ActiveRequest active, long engine) {
        double sinceCutMs = loop.nowMs() - active.cutReadsMs.getOrDefault(engine, loop.nowMs());
        if (sinceCutMs <= termMs || !admitsLine()) return;
        log.accept("release of " + active.request.id() + " at " + Long.toHexString(engine) + " first sent "
                + Math.round(sinceCutMs) + " ms after its read was cut;" + active.history(loop.nowMs()));
    }

    private boolean admitsLine() {
        limit.leftOut(); // the counters tell how many there were
        return limit.admits();
    }

    private void send(ActiveRequest active, long engine, double untilMs) {
        String id = active.request.id();
        releasesUnderWay++;
        engines.release(engine, id, untilMs, result -> {
            releasesUnderWay--;
            ended(id, engine, result);
        });
    }

    private void ended(String id, long engine, EngineTransport.ReleaseResult result) {
        boolean late = result.tookMs() > LATE_MS;
        Release how = late ? Release.ANSWERED_LATE : Release.ANSWERED;
        counters.count(result.answered() ? how : Release.NEVER_ANSWERED);
        if (result.answered() && !late || !admitsLine()) return;
        log.accept("release of " + id + " at " + Long.toHexString(engine) + (result.answered() ? "" : " not")
                + " answered, " + result.tries() + " tries in " + Math.round(result.tookMs()) + " ms");
    }

    /**
     * Guards against a release that overtakes the end of a connection, and against a reader that goes on reading though
     * nobody waits: the state that it leaves then is held like any other, also when the request has gone on elsewhere and
     * ends long after the cut.
     */
    private void repeat(ActiveRequest active, long engine) {
        if (!active.repeating.add(engine)) return;
        repeatsToCome++;
        repeatAt(active, engine, loop.nowMs() + FIRST_REPEAT_MS);
    }

    private void repeatAt(ActiveRequest active, long engine, double atMs) {
        if (atMs > active.cutReadMayEndUntilMs(engine) + REPEAT_TERMS * termMs) {
            active.repeating.remove(engine);
            repeatsToCome--;
            return;
        }
        loop.schedule(atMs, () -> {
            // A release lets go of all that is held for the request, also of what another reader has for it.
            boolean inUse = !active.answered && (active.anyOut() || !active.holds.isEmpty());
            if (!inUse) {
                counters.count(Reason.LEFT_BY_CUT_READ);
                send(active, engine, loop.nowMs() + termMs);
            }
            repeatAt(active, engine, loop.nowMs() + REPEAT_TERMS * termMs);
        });
    }

    /** Releases what is held for a request that has been answered while an attempt is out; tells once one is answered. */
    void releaseWhileOut(ActiveRequest active, double untilMs, Runnable answered) {
        Map<Long, StateLease> held = new LinkedHashMap<>(active.holds);
        held.keySet().forEach(engine -> engines.release(engine, active.request.id(), untilMs, result -> {
            if (result.answered()) answered.run();
        }));
    }
}
