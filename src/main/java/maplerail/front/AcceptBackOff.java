package maplerail.front;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import maplerail.core.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cuts XNIO's pause after a failed accept short. After each accept that fails, as with EMFILE or ENFILE, XNIO accepts
 * nothing for 250 ms, then for 1, 4, 16 and 30 s if failures go on, and there is no option for it. A client whose
 * connection waits in the backlog has been accepted by this machine, and its request's deadline runs.
 *
 * <p>The parts of XNIO that this needs are in no public interface, so they are looked up; where they are missing, its
 * pauses stay and one line says so.
 */
public final class AcceptBackOff {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptBackOff.class);
    private static final double LOOK_MS = 50; // the longest pause

    private final Loop loop;
    private final Object handle;
    private final Field pausing;
    private final Method reset;
    private final Method end;
    private boolean told;

    private AcceptBackOff(Loop loop, Object server) throws ReflectiveOperationException {
        this.loop = loop;
        Object handles = open(server.getClass().getDeclaredField("handles")).get(server);
        handle = Array.get(handles, 0);
        pausing = open(handle.getClass().getDeclaredField("backOff"));
        reset = open(handle.getClass().getDeclaredMethod("resetBackOff"));
        end = open(handle.getClass().getDeclaredMethod("endBackOff"));
    }

    private static <T extends java.lang.reflect.AccessibleObject> T open(T member) {
        member.setAccessible(true);
        return member;
    }

    /** Looks after a listening server of a worker with one thread, from now on. */
    public static void limit(Loop loop, Object server) {
        try {
            new AcceptBackOff(loop, serverBehind(server)).look();
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("pauses after a failed accept stay as long as XNIO makes them", e);
        }
    }

    /** A server with a queue for each thread wraps the real one. */
    private static Object serverBehind(Object server) throws ReflectiveOperationException {
        for (Field field : server.getClass().getDeclaredFields()) {
            if (field.getName().equals("realServer")) return open(field).get(server);
        }
        return server;
    }

    private void look() {
        try {
            if (pausing.getBoolean(handle)) {
                if (!told) LOG.warn("accept fails on this machine; trying again every {} ms", LOOK_MS);
                told = true;
                reset.invoke(handle);
                end.invoke(handle);
            } else {
                told = false;
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("a pause after a failed accept could not be ended", e);
            return;
        }
        loop.at(loop.nowMs() + LOOK_MS, this::look);
    }
}
