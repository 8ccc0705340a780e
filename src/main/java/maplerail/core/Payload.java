package maplerail.core;

/** Data that a front passes to the engines with a request. Opaque to the broker. */
public interface Payload {
    /** Lets go of the data: no further attempt will need it. An attempt in flight keeps what it has yet to write. */
    default void discard() {}
}
