package maplerail.core;

import java.util.List;
import java.util.function.Consumer;
import maplerail.Router;

/** Logs the evidence that allows an unsafe request, which must not take effect twice, to be sent again. */
final class RepeatLog {
    private enum Repeated {
        AFTER_PROOF_OF_NO_EFFECT
    }

    private final List<Router.RequestClass> classes;
    private final ServiceCounters counters;
    private final Consumer<String> log;

    RepeatLog(List<Router.RequestClass> classes, ServiceCounters counters, Consumer<String> log) {
        this.classes = classes;
        this.counters = counters;
        this.log = log;
    }

    /** Logs the outcome of each earlier write of an unsafe request that is about to be sent to a writer again. */
    void logRepeats(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        int kind = active.request.kind();
        boolean unsafe = kind < classes.size() && classes.get(kind).repeat() == Router.Repeat.UNSAFE;
        if (attempt.atReader || !unsafe) return;
        for (ActiveRequest.Attempt earlier : active.attempts) {
            if (earlier == attempt || earlier.atReader) continue;
            counters.count(Repeated.AFTER_PROOF_OF_NO_EFFECT);
            log.accept("repeat of " + active.request.id() + ": write " + Long.toHexString(earlier.engine) + " ended "
                    + earlier.outcome + (earlier.handle == null ? "" : ", " + earlier.handle.trace()));
        }
    }
}
