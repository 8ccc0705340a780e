package maplerail.net;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;

/** What a connection that could not be opened says, and of whom. */
final class ConnectFault {
    private ConnectFault() {}

    /**
     * True if this machine had no descriptor, buffer, port or route: EMFILE, ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH.
     * The standard library has classes of their own for refused, timed out and no route to a host; all else comes as a
     * plain {@link SocketException}, of which only a reset is the far side's doing.
     */
    static boolean isLocal(IOException error) {
        if (error instanceof BindException) return true;
        String message = String.valueOf(error.getMessage());
        return error.getClass() == SocketException.class && !message.contains("reset");
    }
}
