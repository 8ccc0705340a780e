package maplerail.support;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Measures for how long a reader holds states while no attempt of their requests is in flight. A release frees a state
 * only if the state is held and no attempt waits for it when the release arrives. A release that arrives before the
 * state exists, or while an attempt at a writer waits for it, has no effect.
 */
public final class HeldTimes {
    /**
     * The longest time for which an engine may hold a state, whether or not the gateway knows of it: the limit of the
     * settings (500 ms) plus the slack of the rules (300 ms).
     */
    public static final double LIMIT_MS = 500 + 300;
    /** Longer than the limit, so that a failure shows how late a release was. */
    private static final double OBSERVATION_LIMIT_MS = 3 * LIMIT_MS;

    private final Map<String, State> states = new HashMap<>();
    private final DoubleSupplier clockMs;

    /** Creates an instance with the system's monotonic clock. */
    public HeldTimes() {
        this(() -> System.nanoTime() / 1e6);
    }

    HeldTimes(DoubleSupplier clockMs) {
        this.clockMs = clockMs;
    }

    /** The times for which a state was held, and since when it is held now (NaN if it is not). */
    private final class State {
        final List<Double> heldMs = new ArrayList<>();
        double sinceMs = Double.NaN;
        int releases;
        boolean finished;

        void begin() {
            if (!isHeld()) sinceMs = clockMs.getAsDouble();
            finished = false;
        }

        void end(boolean isFinal) {
            if (!isHeld()) return;
            heldMs.add(clockMs.getAsDouble() - sinceMs);
            sinceMs = Double.NaN;
            finished = isFinal;
        }

        boolean isHeld() {
            return !Double.isNaN(sinceMs);
        }
    }

    private State state(String id) {
        return states.computeIfAbsent(id, s -> new State());
    }

    /** Records that an attempt is in flight now, which stops the clock of the state of its request. */
    public synchronized void attemptInFlight(String id) {
        state(id).end(false);
    }

    /** Records that a reader holds a state and that no attempt is in flight any more. */
    public synchronized void held(String id) {
        state(id).begin();
    }

    /**
     * Records that a writer declines its attempt: no attempt is in flight, and a state that was neither released nor
     * fetched is still held.
     */
    public synchronized void declined(String id) {
        State state = state(id);
        if (!state.finished) state.begin();
    }

    /** Records that a writer fetches the state. */
    public synchronized void taken(String id) {
        state(id).end(true);
    }

    /** Records that a release has arrived at an engine that runs. */
    public synchronized void released(String id) {
        State state = state(id);
        state.releases++;
        state.end(true);
    }

    /** True if a state is held or was held before. */
    public synchronized boolean wasHeld(String id) {
        return state(id).isHeld() || !state(id).heldMs.isEmpty();
    }

    private synchronized boolean isFinishedOrOverdue(String id) {
        State state = state(id);
        return state.isHeld() ? clockMs.getAsDouble() - state.sinceMs > OBSERVATION_LIMIT_MS : state.finished;
    }

    /** Waits until a state is released or fetched and checks that it was never held for {@link #LIMIT_MS} or longer. */
    public void assertReleasedInTime(String id) throws InterruptedException {
        GatewayFixture.await(id + " is released, or held for far too long", () -> isFinishedOrOverdue(id));
        synchronized (this) {
            State state = state(id);
            List<Double> heldMs = new ArrayList<>(state.heldMs);
            if (state.isHeld()) heldMs.add(clockMs.getAsDouble() - state.sinceMs);
            assertThat(heldMs).as("ms for which %s was held, %s, after %s releases", id,
                    state.isHeld() ? "still held now" : "no longer held", state.releases)
                    .allMatch(span -> span < LIMIT_MS);
        }
    }
}
