package maplerail.core;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.policy.AnswerTimes;

/**
 * One release of the states that are held for a request. It is sent to the engine that may hold one. As any engine
 * releases the states at all of them, others are asked too while that engine does not answer.
 */
final class StateRelease {
    /** Delay before a further engine is asked: several times what an answer usually takes. */
    private static final double OTHER_ENGINE_DELAY_MS = 40;
    private static final int MAX_OTHER_ENGINES = 3;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final Fleet fleet;
    private final AnswerTimes answerTimes;
    private final ActiveRequest active;
    private final long holder;
    private final double deadlineMs;
    private final BooleanSupplier mayRetry;
    private final double startedMs;
    private final Set<Long> askedEngines = new HashSet<>();
    private final FirstAnswerListener onAnswered;
    private final Consumer<EngineTransport.ReleaseResult> onHolderDone;
    private boolean answered;

    /** Receives the first answer to a release: which engine gave it, and when the release was started. */
    interface FirstAnswerListener {
        void answered(long engine, double startedMs);
    }

    /**
     * Creates a release.
     *
     * @param deadlineMs until when its holder is asked
     * @param mayRetry checked before each further try
     * @param onAnswered called at the first answer, after which no state is held that existed before the release
     * @param onHolderDone called when the holder has answered or is no longer asked
     */
    StateRelease(EngineTransport transport, EventLoop loop, Fleet fleet, AnswerTimes answerTimes, ActiveRequest active,
            long holder, double deadlineMs, BooleanSupplier mayRetry, FirstAnswerListener onAnswered,
            Consumer<EngineTransport.ReleaseResult> onHolderDone) {
        this.transport = transport;
        this.loop = loop;
        this.fleet = fleet;
        this.answerTimes = answerTimes;
        this.active = active;
        this.holder = holder;
        this.deadlineMs = deadlineMs;
        this.mayRetry = mayRetry;
        this.onAnswered = onAnswered;
        this.onHolderDone = onHolderDone;
        this.startedMs = loop.nowMs();
    }

    void start() {
        loop.schedule(startedMs + OTHER_ENGINE_DELAY_MS, this::askOther);
        ask(holder, deadlineMs, onHolderDone);
    }

    private void ask(long engine, double retryUntilMs, Consumer<EngineTransport.ReleaseResult> onEnded) {
        askedEngines.add(engine);
        transport.release(engine, active.request.id(), retryUntilMs, mayRetry, result -> {
            if (result.answered()) recordAnswer(engine);
            onEnded.accept(result);
        });
    }

    private void recordAnswer(long engine) {
        answerTimes.record(engine, loop.inputArrivedAfterMs());
        if (answered) return;
        answered = true;
        onAnswered.answered(engine, startedMs);
    }

    /** Asks the engine that answered this node last, once, as a late try could release what a later attempt needs. */
    private void askOther() {
        boolean done = answered || loop.nowMs() > deadlineMs || askedEngines.size() > MAX_OTHER_ENGINES;
        if (done || active.needsHeldStates()) return;
        Set<Long> others = fleet.readyEngines();
        others.removeAll(askedEngines);
        Optional<Long> other = answerTimes.mostRecent(others);
        if (other.isEmpty()) return;
        loop.schedule(loop.nowMs() + OTHER_ENGINE_DELAY_MS, this::askOther);
        ask(other.get(), loop.nowMs(), result -> {});
    }
}
