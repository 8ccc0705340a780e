package maplerail.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.policy.AnswerTimes;
import maplerail.policy.ProtocolRules;
import maplerail.policy.ProtocolRules.ClientPresence;
import maplerail.policy.ProtocolRules.Reason;
import maplerail.policy.StateLease;

/** Makes the attempts that the module orders, ends them and reports their outcomes to the module. */
final class AttemptRunner {
    /**
     * Longest time that an attempt stays open after its request's answer while the reader of its state is unreachable.
     */
    private static final double MAX_LINGER_MS = 8_000;
    private static final Router.Load UNKNOWN_LOAD = new Router.Load(Double.NaN);

    private final EngineTransport transport;
    private final EventLoop loop;
    private final Fleet fleet;
    private final AnswerTimes answerTimes;
    private final RequestRegistry registry;
    private final Relay relay;
    private final Router.Settings settings;
    private final HeldStates heldStates;
    private final UnconfirmedStates unconfirmedStates;
    private final RepeatLog repeats;
    private final RuleMonitor monitor;
    private final ServiceCounters counters;
    private final FailureLog failureLog;
    private final Consumer<String> log;
    private final StreamSupervisor streams;
    private final Set<ActiveRequest> requestsToSettle = new LinkedHashSet<>();
    private DecisionLoop decisions;
    private Consumer<ActiveRequest> disconnectHandler;

    AttemptRunner(EngineTransport transport, EventLoop loop, Fleet fleet, AnswerTimes answerTimes,
            RequestRegistry registry, HeldStates heldStates, Relay relay, Router.Settings settings, RuleMonitor monitor,
            ServiceCounters counters, FailureLog failureLog, Consumer<String> log) {
        this.transport = transport;
        this.loop = loop;
        this.fleet = fleet;
        this.answerTimes = answerTimes;
        this.registry = registry;
        this.relay = relay;
        this.settings = settings;
        this.heldStates = heldStates;
        this.unconfirmedStates = heldStates.unconfirmed();
        this.repeats = new RepeatLog(settings.classes(), counters, log);
        this.monitor = monitor;
        this.counters = counters;
        this.failureLog = failureLog;
        this.log = log;
        this.streams = new StreamSupervisor(loop, counters, attempt -> abort(attempt, Outcome.RESET));
    }

    /** Sets the receiver of attempt events and the handler for callers that are found to have disconnected. */
    void connect(DecisionLoop decisionLoop, Consumer<ActiveRequest> onDisconnect) {
        decisions = decisionLoop;
        disconnectHandler = onDisconnect;
    }

    void startAttempt(Router.Send order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null) return;
        double deadlineMs = order.deadlineMs() > 0 ? Math.min(order.deadlineMs(), active.deadlineMs)
                : active.deadlineMs;
        ActiveRequest.Attempt attempt = new ActiveRequest.Attempt(active, order.engine(),
                fleet.target(order.engine()), loop.nowMs(), deadlineMs);
        Reason verdict = checkSend(active, order.engine());
        if (verdict == Reason.ALLOWED && deadlineMs <= loop.nowMs()) verdict = Reason.DEADLINE_PASSED;
        boolean releaseFirst = attempt.atReader && unconfirmedStates.mustReleaseBeforeRead(active);
        active.attempts.add(attempt);
        if (verdict != Reason.ALLOWED) {
            withhold(attempt, verdict);
            onEnded(attempt, Outcome.NOT_SENT, 0);
            return;
        }
        repeats.logRepeats(attempt);
        attempt.timeout = loop.schedule(deadlineMs, () -> abort(attempt, Outcome.TIMEOUT));
        attempt.awaitingRelease = releaseFirst;
        if (releaseFirst) sendAfterRelease(attempt, order.startByMs());
        else send(attempt, order.startByMs());
        if (order.startByMs() < deadlineMs) loop.schedule(order.startByMs(), () -> withdraw(attempt));
    }

    private void send(ActiveRequest.Attempt attempt, double startByMs) {
        attempt.handle = transport.send(attempt.engine, attempt.active.request, attempt.deadlineMs,
                () -> mayStart(attempt, startByMs),
                new EngineTransport.AnswerListener() {
                    @Override
                    public void event(byte[] event) {
                        if (!attempt.ended) onEvent(attempt, event);
                    }

                    @Override
                    public void comment(byte[] comment) {
                        if (!attempt.ended && attempt.active.winner == attempt) relay.onEvent(attempt, comment);
                    }

                    @Override
                    public void textArrived(int unfinishedBytes) {
                        if (attempt.progress != null) attempt.progress.textArrived(loop.nowMs(), unfinishedBytes);
                    }

                    @Override
                    public void lastEvent() {
                        if (attempt.progress != null) attempt.progress.lastEventArrived(loop.nowMs());
                    }

                    @Override
                    public void rejected() {
                        if (!attempt.ended) onRejected(attempt);
                    }

                    @Override
                    public void ended(Outcome outcome, double cachedTokens) {
                        AttemptRunner.this.onEnded(attempt, outcome, cachedTokens);
                    }
                });
    }

    /** Sends a read once its reader has answered a release; without an answer, the reader counts as unreachable. */
    private void sendAfterRelease(ActiveRequest.Attempt attempt, double startByMs) {
        attempt.handle = new AwaitingReleaseHandle();
        unconfirmedStates.releaseBeforeRead(attempt.active, attempt.engine, answered -> {
            if (attempt.ended) return;
            attempt.awaitingRelease = false;
            if (!answered) finish(attempt, Outcome.UNREACHABLE, true, 0);
            else if (mayStart(attempt, startByMs)) send(attempt, startByMs);
        });
    }

    /** Checks whether an attempt may be sent now. Also checks whether the client is still connected. */
    private Reason checkSend(ActiveRequest active, long engine) {
        Reason clientReason = checkClient(active);
        if (clientReason != Reason.ALLOWED) return clientReason;
        return ProtocolRules.checkSend(active.toRequestState(settings.classes()), fleet.target(engine),
                settings.limits(), loop.nowMs());
    }

    private Reason checkClient(ActiveRequest active) {
        if (active.answered) return Reason.REQUEST_OVER;
        ClientPresence presence = active.caller.presence();
        if (presence == ClientPresence.DISCONNECTED) disconnectHandler.accept(active);
        return ProtocolRules.checkClient(presence);
    }

    /**
     * Checks an attempt that had to wait for its connection, right before its first byte is written. Guards against a
     * client that has just disconnected, against an engine that has left service meanwhile, and against a repeat after
     * its repeat window, as the timer that withdraws the attempt may be late.
     */
    private boolean mayStart(ActiveRequest.Attempt attempt, double startByMs) {
        ActiveRequest active = attempt.active;
        Reason verdict = checkClient(active);
        if (attempt.ended) return false;
        if (verdict == Reason.ALLOWED)
            verdict = ProtocolRules.checkStart(active.toRequestState(settings.classes()),
                    fleet.target(attempt.engine), loop.nowMs());
        if (verdict == Reason.ALLOWED && loop.nowMs() >= startByMs) verdict = Reason.REPEAT_WINDOW_OVER;
        if (verdict == Reason.ALLOWED) return true;
        counters.count(verdict);
        abort(attempt, Outcome.CANCELLED);
        return false;
    }

    private void withhold(ActiveRequest.Attempt attempt, Reason reason) {
        counters.count(reason);
        // The module can't know yet that a client has, or may have, disconnected, that a deadline has passed during this step, or of
        // a list change that has not been delivered to it. Any other reason is a fault of the module.
        boolean expected = reason == Reason.REQUEST_OVER || reason == Reason.DEADLINE_PASSED
                || reason == Reason.ENGINE_NOT_IN_SERVICE || reason == Reason.CLIENT_MAY_HAVE_LEFT;
        if (!expected) {
            monitor.report(RuleMonitor.Breach.SEND_WITHHELD, attempt.active.request.id(),
                    reason + " at " + Long.toHexString(attempt.engine));
        }
    }

    /** Aborts an attempt as unreachable if none of its bytes have been sent. */
    private void withdraw(ActiveRequest.Attempt attempt) {
        if (!attempt.ended && attempt.handle.unsent()) abort(attempt, Outcome.UNREACHABLE);
    }

    private void onEvent(ActiveRequest.Attempt attempt, byte[] event) {
        if (attempt.atReader) {
            abort(attempt, Outcome.RESET);
            return;
        }
        ActiveRequest active = attempt.active;
        answerTimes.record(attempt.engine, loop.inputArrivedAfterMs());
        attempt.recordEvent(loop.nowMs());
        if (active.winner == null && !active.answered) {
            active.winner = attempt;
            attempt.timeout.cancel();
            streams.supervise(attempt);
            active.deadlineGuard.cancel();
            heldStates.onStreamStarted(active);
            registry.discardPayload(active);
            decisions.deliver(new Router.FirstToken(active.number, attempt.number, attempt.engine,
                    loop.nowMs() - attempt.sentMs));
        }
        if (active.winner == attempt) relay.onEvent(attempt, event);
        else abort(attempt, Outcome.CANCELLED);
    }

    /**
     * Fails a request that an engine rejected as invalid. Guards against sending it to one engine after another, which
     * would use up all its attempts and make the module count each engine as failing.
     */
    private void onRejected(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        boolean unanswered = registry.claimFinalAnswer(active);
        onEnded(attempt, Outcome.CANCELLED, 0);
        if (!unanswered) return;
        cancelAll(active);
        decisions.deliver(new Router.Abandoned(active.number));
        failureLog.requestFailed(active, "rejected by an engine as invalid");
        active.caller.fail(Caller.Why.INVALID);
    }

    /** Cancels an attempt, unless its stream is already being passed to the caller. */
    void cancel(Router.Cancel order) {
        ActiveRequest active = registry.find(order.id());
        if (active == null || order.attempt() >= active.attempts.size()) return;
        ActiveRequest.Attempt attempt = active.attempts.get(order.attempt());
        if (active.winner != attempt) cancelOrLinger(attempt);
    }

    /** Cancels all attempts of a request, including one whose stream is being passed to the caller. */
    void cancelAll(ActiveRequest active) {
        for (ActiveRequest.Attempt attempt : List.copyOf(active.attempts)) cancelOrLinger(attempt);
    }

    /**
     * Cancels an attempt. If a state is held for the answered request, the attempt stays open until the state's reader
     * answers a release. Guards against a reader that has fallen silent: with no attempt in flight, the state would
     * count as pinned before it could be released. This also applies to a read at another reader that was started
     * because a writer could not reach the first one.
     */
    private void cancelOrLinger(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        if (attempt.ended || attempt.lingering || attempt.handle == null) return;
        attempt.lingering = active.answered && active.winner != attempt && !active.leases.isEmpty()
                && !attempt.handle.unsent();
        if (!attempt.lingering) {
            abort(attempt, Outcome.CANCELLED);
            return;
        }
        attempt.timeout.cancel();
        double lingerUntilMs = loop.nowMs() + MAX_LINGER_MS;
        attempt.timeout = loop.schedule(lingerUntilMs, () -> abort(attempt, Outcome.CANCELLED));
        heldStates.releaseWhileInFlight(active, lingerUntilMs, () -> abort(attempt, Outcome.CANCELLED));
    }

    /** Withdraws all attempts that have not been sent and whose engines no longer accept new work. */
    void withdrawUnsent() {
        for (ActiveRequest active : registry.all()) {
            // A copy, as the module may start another attempt when one ends.
            for (ActiveRequest.Attempt attempt : List.copyOf(active.attempts)) {
                if (!fleet.isReady(attempt.engine)) withdraw(attempt);
            }
        }
    }

    /** Calls off a read, of which nothing proves that it is in flight. */
    void callOff(ActiveRequest.Attempt read) {
        abort(read, Outcome.CANCELLED);
    }

    private void abort(ActiveRequest.Attempt attempt, Outcome outcome) {
        if (attempt.ended) return;
        Outcome provenOutcome = attempt.handle.unsent() && outcome == Outcome.CANCELLED ? Outcome.NOT_SENT : outcome;
        attempt.handle.abort();
        finish(attempt, provenOutcome, true, 0);
    }

    /**
     * Replaces an outcome that an engine of this role never gives by {@link Outcome#ERROR}. Such an answer belongs to
     * another request, for example a second answer that arrived late on a reused connection, and proves nothing about
     * this attempt.
     */
    private Outcome validateOutcome(ActiveRequest.Attempt attempt, Outcome reported) {
        Router.Role role = fleet.target(attempt.engine).role();
        boolean mismatched = role == Router.Role.READ && (reported == Outcome.SERVED || reported == Outcome.STATE_GONE)
                || role == Router.Role.WRITE && reported == Outcome.READ && !settings.limits().writersRead();
        if (!mismatched) return reported;
        log.accept("answer " + reported + " of a " + role + " engine to request " + attempt.active.request.id()
                + " is invalid and counts as ERROR, " + attempt.handle.trace());
        return Outcome.ERROR;
    }

    private void onEnded(ActiveRequest.Attempt attempt, Outcome reported, double cachedTokens) {
        if (attempt.ended) return;
        Outcome outcome = validateOutcome(attempt, reported);
        boolean valid = outcome == reported;
        if (valid && StateLease.isEngineAnswer(outcome))
            answerTimes.record(attempt.engine, loop.inputArrivedAfterMs());
        finish(attempt, outcome, valid, cachedTokens);
    }

    /**
     * Ends an attempt. The module learns of the end of a read without an answer once the state that it may have left is
     * released.
     *
     * @param valid false if the attempt's engine gave an invalid answer, which proves nothing
     */
    private void finish(ActiveRequest.Attempt attempt, Outcome outcome, boolean valid, double cachedTokens) {
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.endedMs = loop.nowMs();
        counters.count(outcome);
        requestsToSettle.add(attempt.active);
        if (attempt.timeout != null) attempt.timeout.cancel();
        ActiveRequest active = attempt.active;
        // Its engine may go on with it, as nothing proves that it knows of the end.
        boolean answered = valid && StateLease.isEngineAnswer(outcome);
        if (!answered && !outcome.hadNoEffect) active.onAttemptUnanswered(attempt, loop.nowMs());
        if (valid) heldStates.onAttemptEnded(active, outcome);
        if (outcome == Outcome.READ) heldStates.onStateHeld(active, attempt.engine);
        boolean unansweredRead = attempt.atReader && !outcome.hadNoEffect;
        // A read may have finished successfully just as it was aborted.
        if (unansweredRead) heldStates.onReadUnanswered(active, attempt);
        // A complete answer without any event also goes to the caller.
        if (outcome == Outcome.SERVED && active.winner == null && !active.answered) active.winner = attempt;
        if (active.winner == attempt) relay.onEnded(attempt, outcome);
        Router.Ended end = new Router.Ended(active.number, attempt.number, attempt.engine, outcome,
                loop.nowMs() - attempt.sentMs, cachedTokens, active.answered, UNKNOWN_LOAD);
        if (unansweredRead) {
            active.heldBackEnds.add(end);
            decisions.settle();
        } else {
            decisions.deliver(end);
        }
    }

    /**
     * Settles the requests of attempts that have ended, after all actions of the module have been performed. Guards
     * against releasing an aborted read's state at a reader to which the module sends the same request in the same
     * step.
     */
    void settle() {
        List<ActiveRequest> ended = List.copyOf(requestsToSettle);
        requestsToSettle.clear();
        for (ActiveRequest active : ended) {
            registry.settle(active);
            List<Router.Ended> ends = List.copyOf(active.heldBackEnds);
            active.heldBackEnds.clear();
            if (!ends.isEmpty()) unconfirmedStates.afterRelease(active, () -> ends.forEach(decisions::deliver));
        }
    }
}
