package maplerail.soak;

import java.io.Closeable;
import java.io.IOException;

/** Starts the daemon threads of the soak; each ends when its socket is closed. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** The body of a thread. */
    interface Task {
        void run() throws Exception;
    }

    static void start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                return; // a socket was closed; the ledger has recorded whatever matters about it
            } catch (Exception e) {
                throw new IllegalStateException(name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // the socket is unusable either way
        }
    }
}
