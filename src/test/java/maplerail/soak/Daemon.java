package maplerail.soak;

import java.io.Closeable;
import java.io.IOException;

/** Threads of the soak, which end when their sockets do. */
final class Daemon {
    private Daemon() {}

    /** What a thread does. */
    interface Work {
        void run() throws Exception;
    }

    static void start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                return; // a socket went away: what matters of that the ledger knows
            } catch (Exception e) {
                throw new IllegalStateException(name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void close(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // it is gone either way
        }
    }
}
