package maplerail.core;

/**
 * A request as a front understood it: the facts that decide, by place in the settings, and the payload.
 * {@code id} is the caller's own and unique while the request is open; {@code size} is the payload's in bytes.
 */
public record ServiceRequest(String id, int kind, int tenant, long session, double promptTokens, long prefix,
        double prefixTokens, double budgetMs, double maxOutput, double hintMs, boolean resumed, int size,
        Payload payload) {}
