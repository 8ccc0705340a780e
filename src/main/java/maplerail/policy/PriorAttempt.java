package maplerail.policy;

import maplerail.Router.Outcome;
import maplerail.Router.Role;
import maplerail.policy.ProtocolRules.Target;

/**
 * The facts of an earlier attempt that {@link ProtocolRules} needs.
 *
 * @param target its engine as listed when it was sent
 * @param sentMs when it was sent
 * @param outcome how it ended, or null while it is in flight
 */
public record PriorAttempt(Target target, double sentMs, Outcome outcome) {
    /** Whether it has not ended. */
    public boolean inFlight() {
        return outcome == null;
    }

    /** Whether it may have had an effect. A read never has one, and some outcomes prove that there was none. */
    public boolean mayHaveRun() {
        return target.role() != Role.READ && (inFlight() || !outcome.hadNoEffect);
    }
}
