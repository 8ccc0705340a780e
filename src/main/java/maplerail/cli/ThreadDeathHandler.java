package maplerail.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * Ends the process when its accepting or its I/O thread dies of an error, for example because the heap is full. The
 * process would go on running and answer nobody; one that has ended is started again.
 */
final class ThreadDeathHandler implements Thread.UncaughtExceptionHandler {
    /** Exit status of a process that ended because a thread had died. */
    private static final int EXIT_STATUS = 70;
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    private ThreadDeathHandler() {}

    /** Sets the handler for all threads. */
    static void install() {
        Thread.setDefaultUncaughtExceptionHandler(new ThreadDeathHandler());
    }

    @Override
    public void uncaughtException(Thread thread, Throwable error) {
        boolean serves = thread instanceof XnioIoThread;
        try {
            LOG.error("thread {} has died{}", thread.getName(), serves ? "; the process ends" : "", error);
        } finally {
            // Without shutdown hooks: the drain needs the thread that has died.
            if (serves) Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
