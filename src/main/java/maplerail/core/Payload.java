package maplerail.core;

/** Data that a front passes to the engines with a request. Opaque to the broker. */
public interface Payload {}
