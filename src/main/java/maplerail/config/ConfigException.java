package maplerail.config;

/** Reports a configuration that cannot be used; the message names the key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a one-line message for the operator. */
    public ConfigException(String message) {
        super(message);
    }
}
