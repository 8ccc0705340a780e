package maplerail.support;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * For how long an engine holds states while no attempt of their requests is out at it. A release lets go of what is held
 * when it comes, so one that comes before a state is there does nothing for it.
 */
public final class HeldTimes {
    /** From when an engine holds a state, known to the gateway or not: the settings' limit and what the rules add. */
    public static final double LIMIT_MS = 500 + 300;
    private static final double WATCH_MS = 3 * LIMIT_MS; // so that a failure tells how late a release was

    private final Map<String, State> states = new HashMap<>();

    /** The spans for which one was held, and since when it is, or NaN. */
    private static final class State {
        final List<Double> heldMs = new ArrayList<>();
        double sinceMs = Double.NaN;
        int releases;
        boolean letGo;

        void end(boolean byRelease) {
            if (!isHeld()) return;
            heldMs.add(nowMs() - sinceMs);
            sinceMs = Double.NaN;
            letGo = byRelease;
        }

        boolean isHeld() {
            return !Double.isNaN(sinceMs);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private State state(String id) {
        return states.computeIfAbsent(id, s -> new State());
    }

    /** An attempt that is out there now stops the clock of what is held for its request. */
    public synchronized void out(String id) {
        state(id).end(false);
    }

    /** A state is there, and no attempt is out, from now on if not before. */
    public synchronized void held(String id) {
        State state = state(id);
        if (!state.isHeld()) state.sinceMs = nowMs();
    }

    /** A writer fetches the state. */
    public synchronized void taken(String id) {
        state(id).end(true);
    }

    /** A release has come to an engine that runs. */
    public synchronized void released(String id) {
        State state = state(id);
        state.releases++;
        state.end(true);
    }

    /** True if a state is held, or was. */
    public synchronized boolean wasHeld(String id) {
        return state(id).isHeld() || !state(id).heldMs.isEmpty();
    }

    private synchronized boolean isDecided(String id) {
        State state = state(id);
        return state.isHeld() ? nowMs() - state.sinceMs > WATCH_MS : state.letGo;
    }

    /** Waits until a state is let go, and checks that it never stayed for too long. */
    public void assertLetGoInTime(String id) throws InterruptedException {
        World.await(id + " is let go, or held for far too long", () -> isDecided(id));
        synchronized (this) {
            State state = state(id);
            List<Double> heldMs = new ArrayList<>(state.heldMs);
            if (state.isHeld()) heldMs.add(nowMs() - state.sinceMs);
            assertThat(heldMs).as("ms for which %s was held, %s, after %s releases", id,
                    state.isHeld() ? "the last for longer" : "then let go", state.releases)
                    .allMatch(span -> span < LIMIT_MS);
        }
    }
}
