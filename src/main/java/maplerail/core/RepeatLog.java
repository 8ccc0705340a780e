package maplerail.core;

import java.util.List;
import java.util.function.Consumer;
import maplerail.Router;

/** Tells what proves that an effect which must not come twice may be tried again. */
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

    /** A line for each earlier write of an unsafe request that is about to be written again. */
    void tell(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        int kind = active.request.kind();
        boolean unsafe = kind < classes.size() && classes.get(kind).repeat() == Router.Repeat.UNSAFE;
        if (attempt.reader || !unsafe) return;
        for (ActiveRequest.Attempt earlier : active.attempts) {
            if (earlier == attempt || earlier.reader) continue;
            counters.count(Repeated.AFTER_PROOF_OF_NO_EFFECT);
            log.accept("repeat of " + active.request.id() + ": write " + Long.toHexString(earlier.engine) + " ended "
                    + earlier.outcome + (earlier.sending == null ? "" : ", " + earlier.sending.trace()));
        }
    }
}
