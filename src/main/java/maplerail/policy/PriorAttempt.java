package maplerail.policy;

import maplerail.Router.Outcome;
import maplerail.Router.Role;
import maplerail.policy.ProtocolRules.Target;

/**
 * An attempt that was made for a request, as far as {@link ProtocolRules} has to know it.
 *
 * @param target its engine, as listed when it was sent
 * @param sentMs when it was sent
 * @param end how it ended, or null while it is out
 */
public record PriorAttempt(Target target, double sentMs, Outcome end) {
    /** True while it has not ended. */
    public boolean out() {
        return end == null;
    }

    /** True unless it is a read, which has no effect however it ends, or its end proves that it had none. */
    public boolean mayHaveRun() {
        return target.role() != Role.READ && (out() || !end.hadNoEffect);
    }
}
