package maplerail.core;

/**
 * A request as a front understood it: the facts that decide, by place in the settings, and the payload.
 *
 * @param id the caller's own, unique while the request is open
 * @param budgetMs for how long its caller waits, from when it sent the request
 * @param size of the payload, in bytes
 * @param sentMs not before this time of the loop's clock was it sent, or NaN if it is sent as it is taken
 */
public record ServiceRequest(String id, int kind, int tenant, long session, double promptTokens, long prefix,
        double prefixTokens, double budgetMs, double maxOutput, double hintMs, boolean resumed, int size,
        Payload payload, double sentMs) {

    /** A request that is sent as it is taken. */
    public ServiceRequest(String id, int kind, int tenant, long session, double promptTokens, long prefix,
            double prefixTokens, double budgetMs, double maxOutput, double hintMs, boolean resumed, int size,
            Payload payload) {
        this(id, kind, tenant, session, promptTokens, prefix, prefixTokens, budgetMs, maxOutput, hintMs, resumed, size,
                payload, Double.NaN);
    }

    /** When its caller gives up, for a request that is taken now. */
    double deadlineMs(double nowMs) {
        return (Double.isNaN(sentMs) ? nowMs : sentMs) + budgetMs;
    }
}
