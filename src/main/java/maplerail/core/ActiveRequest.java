package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.Router;
import maplerail.policy.AnswerLimits;
import maplerail.policy.AnswerTimes;
import maplerail.policy.LateStates;
import maplerail.policy.PriorAttempt;
import maplerail.policy.ProtocolRules;
import maplerail.policy.RequestState;
import maplerail.policy.StateLease;
import maplerail.policy.StreamProgress;

/** An open request with its attempts, its answer and the states that engines may hold for it. */
final class ActiveRequest {
    final long number;
    final ServiceRequest request;
    final Caller caller;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>();
    /** Engines that may hold a state for this request. */
    final Set<Long> possibleHolders = new LinkedHashSet<>();
    /** Leases of the states that readers reported to hold, by engine. */
    final Map<Long, StateLease> leases = new LinkedHashMap<>();
    /** Readers whose states were released while a write was in flight that may have needed them. */
    final Set<Long> reclaimedEngines = new LinkedHashSet<>();
    /** States that readers may hold although none reported them or although they were released, by engine. */
    final Map<Long, UnconfirmedState> unconfirmedStates = new LinkedHashMap<>();
    /** When a read last ended without an answer. */
    double lastUnansweredReadMs = Double.NEGATIVE_INFINITY;
    /** When the latest release was sent that an engine has answered. */
    double lastAnsweredReleaseMs = Double.NEGATIVE_INFINITY;
    /** Tasks that wait for the answer to a release. */
    final List<Runnable> releaseWaiters = new ArrayList<>();
    /** Ends of reads of which the module learns once the states that they may have left are released. */
    final List<Router.Ended> heldBackEnds = new ArrayList<>();
    boolean admitted;
    boolean answered;
    boolean payloadDiscarded;
    /** Until when a release may come too early for a state, as an attempt ended without an answer. */
    final LateStates lateStates = new LateStates();
    /** Engines to which releases are repeated because an earlier one may have come too early. */
    final Set<Long> repeatingReleases = new LinkedHashSet<>();
    /** Whether the same request runs again, so that releases of this run could reach states of the later one. */
    boolean superseded;
    /** The attempt whose events are passed to the caller, or null. */
    Attempt winner;
    /** Ends the request shortly after its deadline if the module has not done so. */
    EventLoop.ScheduledTask deadlineGuard;

    ActiveRequest(long number, ServiceRequest request, Caller caller, double deadlineMs) {
        this.number = number;
        this.request = request;
        this.caller = caller;
        this.deadlineMs = deadlineMs;
    }

    /** The request as the protocol rules see it, based on what was actually sent and received. */
    RequestState toRequestState(List<Router.RequestClass> classes) {
        Router.RequestClass requestClass = request.kind() < classes.size() ? classes.get(request.kind()) : null;
        return new RequestState(requestClass, answered || winner != null, deadlineMs,
                attempts.stream().map(Attempt::toPriorAttempt).toList());
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(attempt -> !attempt.ended);
    }

    /** The reads in flight: one, or several where copies are allowed. */
    List<Attempt> readsInFlight() {
        return attempts.stream().filter(attempt -> attempt.atReader && !attempt.ended && !attempt.awaitingRelease)
                .toList();
    }

    /** Takes over the states that an earlier run of the same request may have left. */
    void supersede(ActiveRequest earlier) {
        earlier.superseded = true;
        possibleHolders.addAll(earlier.repeatingReleases);
        lateStates.addAll(earlier.lateStates);
    }

    /**
     * True while an attempt may depend on what is held: a read is in flight, which a release would make useless, or a
     * state waits to be fetched, or a stream is under way, or the request runs again.
     */
    boolean needsHeldStates() {
        if (superseded) return true;
        return !answered && (!readsInFlight().isEmpty() || !leases.isEmpty() || winner != null);
    }

    /** Records that an attempt has ended without an answer of its engine, which may leave a state. */
    void onAttemptUnanswered(Attempt attempt, double nowMs) {
        if (attempt.atReader) {
            lateStates.onReadUnanswered(attempt.engine, nowMs, attempt.deadlineMs);
        } else if (winner != attempt) {
            possibleHolders.forEach(reader -> lateStates.onWriteUnanswered(reader, nowMs, attempt.deadlineMs));
        }
    }

    /** True while an attempt is in flight whose answer has started to arrive. */
    boolean responseStarted() {
        return attempts.stream().anyMatch(attempt -> !attempt.ended && attempt.handle != null
                && (attempt.progress != null || attempt.handle.responseStarted()));
    }

    /**
     * Describes each attempt for the log: engine, start, outcome, duration and, for writes, the progress of its call.
     * Times are in ms; starts are relative to when the request was sent.
     */
    String history(double nowMs) {
        double requestSentMs = deadlineMs - request.budgetMs();
        StringBuilder line = new StringBuilder();
        for (Attempt attempt : attempts) {
            line.append(attempt.atReader ? " read " : " write ").append(Long.toHexString(attempt.engine)).append(" at ")
                    .append(Math.round(attempt.sentMs - requestSentMs)).append(' ')
                    .append(attempt.outcome == null ? "pending" : attempt.outcome).append(" after ")
                    .append(Math.round((attempt.ended ? attempt.endedMs : nowMs) - attempt.sentMs));
            if (!attempt.atReader && attempt.handle != null)
                line.append(" (").append(attempt.handle.trace()).append(attempt.streamTrace(nowMs)).append(')');
            line.append(';');
        }
        return line.toString();
    }

    /** One attempt at an engine. */
    static final class Attempt {
        final ActiveRequest active;
        final int number;
        final long engine;
        /** The engine as listed when the attempt was made. */
        final ProtocolRules.Target target;
        final boolean atReader;
        final double sentMs;
        /** The deadline that its engine is given. */
        final double deadlineMs;
        EngineTransport.AttemptHandle handle;
        EventLoop.ScheduledTask timeout;
        /** How its stream goes on; null before the first event. */
        StreamProgress progress;
        /** Why its stream was ended; null if it was not. */
        StreamProgress.Flaw flaw;
        /** Whether the caller has asked for a pause. */
        boolean paused;
        /** Cancelled, but kept open until the states held for the request can be released. */
        boolean lingering;
        /** Whether the attempt has not been handed to the transport yet, as a release precedes it. */
        boolean awaitingRelease;
        boolean ended;
        /** How the attempt ended; null while it is in flight. */
        Router.Outcome outcome;
        double endedMs;

        /** Records that an event has become whole. */
        void recordEvent(double nowMs) {
            if (progress == null)
                progress = new StreamProgress(AnswerLimits.of(active.request.maxOutputTokens()), nowMs);
            else
                progress.eventArrived(nowMs);
        }

        /** Describes the stream for the log: why it was ended, and when text of an event last arrived. */
        private String streamTrace(double nowMs) {
            if (progress == null) return "";
            return (flaw == null ? "" : ", " + flaw) + ", text " + Math.round(nowMs - progress.lastTextMs())
                    + " ms ago";
        }

        /**
         * The latest time at which its engine is known to have run after the attempt had been sent to it, which
         * proves that the attempt was in flight then; negative infinity if there is no proof.
         */
        double provenInFlightMs(AnswerTimes answerTimes) {
            double answeredMs = answerTimes.lastMs(engine);
            boolean writtenBefore = handle != null && handle.writtenMs() <= answeredMs;
            return writtenBefore ? answeredMs : Double.NEGATIVE_INFINITY;
        }

        /** The attempt as the protocol rules see it. */
        PriorAttempt toPriorAttempt() {
            return new PriorAttempt(target, sentMs, outcome);
        }

        Attempt(ActiveRequest active, long engine, ProtocolRules.Target target, double sentMs, double deadlineMs) {
            this.active = active;
            this.number = active.attempts.size();
            this.engine = engine;
            this.target = target;
            this.atReader = target.role() == Router.Role.READ;
            this.sentMs = sentMs;
            this.deadlineMs = deadlineMs;
        }
    }
}
