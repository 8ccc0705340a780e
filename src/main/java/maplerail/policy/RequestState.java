package maplerail.policy;

import java.util.List;
import java.util.function.Predicate;
import maplerail.Router.RequestClass;

/**
 * The facts of a request that {@link ProtocolRules} needs.
 *
 * @param requestClass its class, or null if it is not in the settings
 * @param answered whether it has its final answer or its stream has started, after which no attempt is sent
 * @param deadlineMs when its client stops waiting
 * @param attempts all its attempts in order, with any outcome
 */
public record RequestState(RequestClass requestClass, boolean answered, double deadlineMs,
        List<PriorAttempt> attempts) {
    /** Whether an attempt is in flight. */
    boolean anyInFlight() {
        return first(PriorAttempt::inFlight) != null;
    }

    /** The first attempt that may have taken effect, or null. */
    PriorAttempt firstThatMayHaveRun() {
        return first(PriorAttempt::mayHaveRun);
    }

    /** The first attempt that binds later ones because it is in flight or may have taken effect, or null. */
    PriorAttempt firstBinding() {
        return first(attempt -> attempt.inFlight() || attempt.mayHaveRun());
    }

    private PriorAttempt first(Predicate<PriorAttempt> condition) {
        return attempts.stream().filter(condition).findFirst().orElse(null);
    }
}
