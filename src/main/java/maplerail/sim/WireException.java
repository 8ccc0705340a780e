package maplerail.sim;

/** Reports input that cannot be decoded; the message says what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a one-line message for the operator. */
    public WireException(String message) {
        super(message);
    }
}
