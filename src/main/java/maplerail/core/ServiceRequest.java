package maplerail.core;

/**
 * A request as parsed by a front: the values that decisions are based on, and the payload.
 *
 * @param id id given by the caller, unique while the request is open
 * @param kind index of the request class in the settings
 * @param tenant index of the tenant in the settings
 * @param budgetMs how long the caller waits, from when it sent the request
 * @param payloadBytes size of the payload, in bytes
 * @param sentMs earliest time on the loop's clock at which the request can have been sent; NaN if the budget starts when
 *     the request is accepted
 */
public record ServiceRequest(String id, int kind, int tenant, long session, double promptTokens, long prefix,
        double prefixTokens, double budgetMs, double maxOutputTokens, double hintMs, boolean retry, int payloadBytes,
        Payload payload, double sentMs) {

    /** Creates a request whose budget starts when it is accepted. */
    public ServiceRequest(String id, int kind, int tenant, long session, double promptTokens, long prefix,
            double prefixTokens, double budgetMs, double maxOutputTokens, double hintMs, boolean retry,
            int payloadBytes, Payload payload) {
        this(id, kind, tenant, session, promptTokens, prefix, prefixTokens, budgetMs, maxOutputTokens, hintMs, retry,
                payloadBytes, payload, Double.NaN);
    }

    /** Returns the time at which the caller gives up, for a request that is accepted now. */
    double deadlineMs(double nowMs) {
        return (Double.isNaN(sentMs) ? nowMs : sentMs) + budgetMs;
    }
}
