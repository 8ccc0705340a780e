package maplerail.cli;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, whose default action would end the program. The class for signals is in no standard package, so it is
 * looked up by reflection: where it is missing, the program runs without reloads.
 */
final class SighupHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SighupHandler.class);

    private SighupHandler() {}

    /** Runs a task on a separate thread at each SIGHUP from now on. */
    static void install(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) task.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException e) {
            LOG.warn("cannot handle SIGHUP, configurations will not be reloaded", e);
        }
    }
}
