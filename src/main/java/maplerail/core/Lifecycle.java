package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Tracks the program's phase from start to exit. Rejects illegal transitions and notifies listeners of each one. */
public final class Lifecycle {
    /** Phase of the program. In FINISHING it only completes requests that it accepted before. */
    public enum Phase {
        STARTING, READY, DRAINING, FINISHING, STOPPED;

        /** True once clients should connect elsewhere. */
        public boolean isShuttingDown() {
            return compareTo(READY) > 0;
        }

        /** True while new requests are served. */
        public boolean acceptsRequests() {
            return compareTo(FINISHING) < 0;
        }
    }

    private static final Map<Phase, Set<Phase>> ALLOWED_TRANSITIONS = Map.of(
            Phase.STARTING, Set.of(Phase.READY, Phase.DRAINING, Phase.STOPPED),
            Phase.READY, Set.of(Phase.DRAINING),
            Phase.DRAINING, Set.of(Phase.FINISHING, Phase.STOPPED),
            Phase.FINISHING, Set.of(Phase.STOPPED),
            Phase.STOPPED, Set.of());

    private final List<Consumer<Phase>> listeners = new ArrayList<>();
    private Phase phase = Phase.STARTING;

    /** The current phase. */
    public synchronized Phase phase() {
        return phase;
    }

    /** Adds a listener for later transitions. */
    public synchronized void addListener(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /**
     * Changes the phase and notifies the listeners.
     *
     * @throws IllegalStateException if the transition is illegal
     */
    public void moveTo(Phase to) {
        List<Consumer<Phase>> toNotify;
        synchronized (this) {
            if (!ALLOWED_TRANSITIONS.get(phase).contains(to))
                throw new IllegalStateException("illegal transition from " + phase + " to " + to);
            phase = to;
            toNotify = List.copyOf(listeners);
        }
        toNotify.forEach(l -> l.accept(to));
    }
}
