package maplerail.policy;

import maplerail.Router.Outcome;

/**
 * An attempt that was made for a request, as far as {@link ProtocolRules} has to know it.
 *
 * @param atReader true if it went to an engine that only reads, where it has no effect however it ends
 * @param sentMs when it was sent
 * @param zone the zone of its engine, as listed when it was sent
 * @param cell the cell of its engine, as listed when it was sent
 * @param end how it ended, or null while it is out
 */
public record PriorAttempt(boolean atReader, double sentMs, int zone, int cell, Outcome end) {
    /** True while it has not ended. */
    public boolean out() {
        return end == null;
    }

    /** True unless it is a read, or its end proves that it had no effect. */
    public boolean mayHaveRun() {
        return !atReader && (out() || !end.neverRan);
    }
}
