package maplerail.policy;

import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.Role;

/** How often the engines of each role have answered this node of late: a rate that fades exponentially. */
public final class AnswerRates {
    private record Rate(double perMs, double atMs) {}

    private final double fadeMs;
    private final Map<Role, Rate> rates = new TreeMap<>();

    /** Makes rates that fade to a part of e in so long. */
    public AnswerRates(double fadeMs) {
        this.fadeMs = fadeMs;
    }

    /** Counts an answer. */
    public void add(Role role, double nowMs) {
        rates.put(role, new Rate(perMs(role, nowMs) + 1 / fadeMs, nowMs));
    }

    /** Answers a millisecond from a role. */
    public double perMs(Role role, double nowMs) {
        Rate known = rates.get(role);
        return known == null ? 0 : known.perMs() * Math.exp((known.atMs() - nowMs) / fadeMs);
    }

    /** Whether no engine has answered yet. */
    public boolean isEmpty() {
        return rates.isEmpty();
    }
}
