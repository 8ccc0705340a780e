package maplerail.core;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import maplerail.Router;

/** Delivers events to the module one at a time and performs its actions in order. Settles once no event is pending. */
final class DecisionLoop {
    private final Router router;
    private final EventLoop loop;
    private final Consumer<Router.Action> perform;
    private final ArrayDeque<Router.Event> pendingEvents = new ArrayDeque<>();
    private final Runnable afterActions;
    private final Consumer<String> log;
    private boolean delivering;

    DecisionLoop(Router router, EventLoop loop, Consumer<Router.Action> perform, Runnable afterActions,
            Consumer<String> log) {
        this.router = router;
        this.loop = loop;
        this.perform = perform;
        this.afterActions = afterActions;
        this.log = log;
    }

    /** Guards against a fault of the module: only this event is lost, and the deadline guard answers its request. */
    private List<Router.Action> decide(Router.Event event) {
        try {
            return router.step(loop.nowMs(), List.of(event));
        } catch (RuntimeException e) {
            log.accept("the decision module failed on " + event.getClass().getSimpleName() + ": " + e);
            return List.of();
        }
    }

    /**
     * Delivers an event. An event that is caused by an action waits until the actions before it have been performed.
     */
    void deliver(Router.Event event) {
        pendingEvents.add(event);
        settle();
    }

    /** Settles once no event is pending, which may deliver further events. */
    void settle() {
        if (delivering) return;
        delivering = true;
        try {
            do {
                for (Router.Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                    decide(next).forEach(perform);
                }
                afterActions.run();
            } while (!pendingEvents.isEmpty());
        } finally {
            delivering = false;
        }
    }
}
