package maplerail.policy;

import maplerail.Router.RequestClass;

/**
 * What has become of a request so far, as far as {@link ProtocolRules} has to know it.
 *
 * @param requestClass its class, or null if the settings do not name it
 * @param over true once it has its final answer or its stream has begun: nothing more is sent for it
 * @param attempts attempts made, whatever became of them
 * @param attemptsOut attempts that have not ended
 * @param deadlineMs when its client gives up
 * @param firstRun the first attempt that may have taken effect, or null if none has
 */
public record RequestState(RequestClass requestClass, boolean over, int attempts, int attemptsOut, double deadlineMs,
        FirstRun firstRun) {

    /** When and where an attempt that may have taken effect was sent. */
    public record FirstRun(double sentMs, int zone, int cell) {}
}
