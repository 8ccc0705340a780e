package maplerail.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** When each engine last answered this node, which proves that it was running and could be reached. */
public final class AnswerTimes {
    private static final double RETENTION_MS = 10_000;

    /** Times by engine, oldest first. */
    private final Map<Long, Double> lastAnswerMs = new LinkedHashMap<>();

    /** Records an answer, given the earliest time at which it can have arrived. */
    public void record(long engine, double arrivedMs) {
        lastAnswerMs.remove(engine);
        lastAnswerMs.put(engine, arrivedMs);
        Iterator<Double> oldestFirst = lastAnswerMs.values().iterator();
        while (oldestFirst.next() < arrivedMs - RETENTION_MS) oldestFirst.remove();
    }

    /** When an engine last answered, or negative infinity if that is not known. */
    public double lastMs(long engine) {
        return lastAnswerMs.getOrDefault(engine, Double.NEGATIVE_INFINITY);
    }

    /** The engine that answered last, or any of them if none is known to have answered. */
    public Optional<Long> mostRecent(Collection<Long> engines) {
        return engines.stream().max(Comparator.comparingDouble(this::lastMs));
    }
}
