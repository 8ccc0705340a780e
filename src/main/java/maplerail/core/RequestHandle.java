package maplerail.core;

/** Lets a front control its open request. */
public interface RequestHandle {
    /** The caller has disconnected or cancelled the request. */
    void cancel();

    /** The caller can receive more events. */
    void writable();
}
