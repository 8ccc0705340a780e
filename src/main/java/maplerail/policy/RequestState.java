package maplerail.policy;

import java.util.List;
import java.util.function.Predicate;
import maplerail.Router.RequestClass;

/**
 * What has become of a request so far, as far as {@link ProtocolRules} has to know it.
 *
 * @param requestClass its class, or null if the settings do not name it
 * @param over true once it has its final answer or its stream has begun: nothing more is sent for it
 * @param deadlineMs when its client gives up
 * @param attempts all attempts made, in order, whatever became of them
 */
public record RequestState(RequestClass requestClass, boolean over, double deadlineMs, List<PriorAttempt> attempts) {
    /** Whether an attempt has not ended. */
    boolean anyOut() {
        return first(PriorAttempt::out) != null;
    }

    /** The first attempt that may have taken effect, or null if none has. */
    PriorAttempt firstThatMayHaveRun() {
        return first(PriorAttempt::mayHaveRun);
    }

    /** The first attempt that binds all later ones, as it is out or may have taken effect; or null. */
    PriorAttempt firstThatBinds() {
        return first(attempt -> attempt.out() || attempt.mayHaveRun());
    }

    private PriorAttempt first(Predicate<PriorAttempt> which) {
        return attempts.stream().filter(which).findFirst().orElse(null);
    }
}
