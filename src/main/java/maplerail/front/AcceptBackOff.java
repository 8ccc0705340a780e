package maplerail.front;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.util.function.DoubleConsumer;
import maplerail.core.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shortens XNIO's back-off after a failed accept. After each accept that fails, for example with EMFILE or ENFILE, XNIO
 * accepts nothing for 250 ms, then for 1, 4, 16 and 30 s if the failures continue, and no option changes that. For a
 * client whose connection waits in the backlog, this machine has accepted the connection, and the deadline of its
 * request is running.
 *
 * <p>XNIO has no public API for this, so its private members are accessed by reflection. Where they are missing, XNIO's
 * own back-off remains in effect and a warning is logged.
 */
public final class AcceptBackOff {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptBackOff.class);
    private static final double POLL_INTERVAL_MS = 50; // and the longest back-off
    private static final int RECOVERY_POLLS = 4; // consecutive polls without a failure until accept counts as recovered

    private final EventLoop loop;
    private final Object handle;
    private final Field backingOff;
    private final Method resetBackOff;
    private final Method endBackOff;
    private final DoubleConsumer failingSince;
    private double lastHealthyMs;
    private int healthyPolls;
    private boolean failureLogged;

    private AcceptBackOff(EventLoop loop, Object server, DoubleConsumer failingSince)
            throws ReflectiveOperationException {
        this.loop = loop;
        this.failingSince = failingSince;
        this.lastHealthyMs = loop.nowMs();
        Object handles = makeAccessible(server.getClass().getDeclaredField("handles")).get(server);
        handle = Array.get(handles, 0);
        backingOff = makeAccessible(handle.getClass().getDeclaredField("backOff"));
        resetBackOff = makeAccessible(handle.getClass().getDeclaredMethod("resetBackOff"));
        endBackOff = makeAccessible(handle.getClass().getDeclaredMethod("endBackOff"));
    }

    private static <T extends java.lang.reflect.AccessibleObject> T makeAccessible(T member) {
        member.setAccessible(true);
        return member;
    }

    /**
     * Starts to poll a listening server, and ends each back-off of its accept early.
     *
     * @param loop the loop of the worker's I/O thread
     * @param server a listening server of a worker with a single I/O thread
     * @param failingSince receives, before each retry, the time (ms) since which accept may have been failing
     */
    public static void limit(EventLoop loop, Object server, DoubleConsumer failingSince) {
        try {
            new AcceptBackOff(loop, unwrapServer(server), failingSince).poll();
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("cannot shorten XNIO's back-off after a failed accept; its default delays apply", e);
        }
    }

    /** Returns the server itself, or the one that it wraps: a server with a queue for each thread is a wrapper. */
    private static Object unwrapServer(Object server) throws ReflectiveOperationException {
        for (Field field : server.getClass().getDeclaredFields()) {
            if (field.getName().equals("realServer")) return makeAccessible(field).get(server);
        }
        return server;
    }

    private void poll() {
        loop.schedule(loop.nowMs() + POLL_INTERVAL_MS, this::poll);
        try {
            if (backingOff.getBoolean(handle)) {
                if (!failureLogged) LOG.warn("accepting connections fails; retrying every {} ms", POLL_INTERVAL_MS);
                failureLogged = true;
                healthyPolls = 0;
                failingSince.accept(lastHealthyMs);
                resetBackOff.invoke(handle);
                endBackOff.invoke(handle);
            } else {
                // A single accept may succeed with the only free descriptor and leave the backlog full.
                if (++healthyPolls < RECOVERY_POLLS) return;
                failureLogged = false;
                lastHealthyMs = loop.nowMs();
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("cannot end XNIO's back-off after a failed accept", e);
        }
    }
}
