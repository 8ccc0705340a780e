package maplerail.front;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.util.function.DoubleConsumer;
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
    private static final int SOUND_LOOKS = 4; // with no failure, after which the trouble is over

    private final Loop loop;
    private final Object handle;
    private final Field pausing;
    private final Method reset;
    private final Method end;
    private final DoubleConsumer failingSince;
    private double soundMs;
    private int soundLooks;
    private boolean told;

    private AcceptBackOff(Loop loop, Object server, DoubleConsumer failingSince) throws ReflectiveOperationException {
        this.loop = loop;
        this.failingSince = failingSince;
        this.soundMs = loop.nowMs();
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

    /**
     * Looks after a listening server of a worker with one thread, from now on, and tells since when accept may have
     * failed each time that it is about to be tried again.
     */
    public static void limit(Loop loop, Object server, DoubleConsumer failingSince) {
        try {
            new AcceptBackOff(loop, serverBehind(server), failingSince).look();
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
        loop.schedule(loop.nowMs() + LOOK_MS, this::look);
        try {
            if (pausing.getBoolean(handle)) {
                if (!told) LOG.warn("accept fails on this machine; trying again every {} ms", LOOK_MS);
                told = true;
                soundLooks = 0;
                failingSince.accept(soundMs);
                reset.invoke(handle);
                end.invoke(handle);
            } else {
                // One accept that succeeds, with the only descriptor there is, does not empty the backlog.
                if (++soundLooks < SOUND_LOOKS) return;
                told = false;
                soundMs = loop.nowMs();
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("a pause after a failed accept could not be ended", e);
        }
    }
}
