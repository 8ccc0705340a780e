package maplerail.policy;

import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.Role;

/** Rates at which the engines of each role have answered this node recently; they fade exponentially. */
public final class AnswerRates {
    private record Rate(double perMs, double atMs) {}

    private final double fadeMs;
    private final Map<Role, Rate> rates = new TreeMap<>();

    /** Creates rates that fade to 1/e within {@code fadeMs}. */
    public AnswerRates(double fadeMs) {
        this.fadeMs = fadeMs;
    }

    /** Counts an answer. */
    public void add(Role role, double nowMs) {
        rates.put(role, new Rate(perMs(role, nowMs) + 1 / fadeMs, nowMs));
    }

    /** Answers per millisecond from a role. */
    public double perMs(Role role, double nowMs) {
        Rate rate = rates.get(role);
        return rate == null ? 0 : rate.perMs() * Math.exp((rate.atMs() - nowMs) / fadeMs);
    }

    /** Whether no engine has answered yet. */
    public boolean isEmpty() {
        return rates.isEmpty();
    }
}
