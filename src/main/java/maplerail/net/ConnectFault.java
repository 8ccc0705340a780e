package maplerail.net;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;

/** Classifies the errors of connections that could not be established. */
final class ConnectFault {
    private ConnectFault() {}

    /**
     * Returns true if the cause is this machine, which had no descriptor, buffer, port or route: EMFILE, ENFILE,
     * ENOBUFS, EADDRNOTAVAIL or ENETUNREACH. The standard library has separate classes for refused, timed out and no
     * route to host. Everything else is reported as a plain {@link SocketException}, of which only a reset is caused by
     * the peer.
     */
    static boolean isLocal(IOException error) {
        if (error instanceof BindException) return true;
        String message = String.valueOf(error.getMessage());
        return error.getClass() == SocketException.class && !message.contains("reset");
    }
}
