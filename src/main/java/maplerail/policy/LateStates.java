package maplerail.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Until when a release may come too early for the states of one request. A release frees only what an engine holds for
 * the request and no attempt waits for, and its answer says no more than that it was received. Two kinds of ended
 * attempts can thus leave a state behind an answered release: a read that its reader finishes although it was called
 * off, and a write that ended without an answer, as its writer may wait for the state until it has seen the close of the
 * connection. Over a connection that fell silent the close never arrives; then the writer drops the write at the
 * deadline that it was given.
 */
public final class LateStates {
    /** Longest time that a read may take once its reader has started it. */
    private static final double MAX_READ_MS = 1_600;
    /** Longest time that a read which was called off may wait in its reader's queue; few deadlines are this long. */
    private static final double MAX_QUEUED_MS = 5_000;
    /**
     * Longest time until a writer has seen the end of a write: that of the network, and 150 ms for which this process
     * may be held up before it closes the connection.
     */
    private static final double MAX_CLOSE_MS = 400;

    /** The last read that ended without an answer, by reader. */
    private final Map<Long, UnansweredRead> reads = new LinkedHashMap<>();
    /** Until when a writer may wait for a state although its write has ended, by reader of the state. */
    private final Map<Long, Double> writesUntilMs = new LinkedHashMap<>();

    /** When a read ended on this side, and until when it may end at its reader. */
    private record UnansweredRead(double endedMs, double untilMs) {}

    /**
     * A read has ended without an answer. While it waits in the reader's queue, it may start until the deadline that the
     * reader was given.
     */
    public void onReadUnanswered(long reader, double endedMs, double deadlineMs) {
        double latestStartMs = Math.max(endedMs, Math.min(deadlineMs, endedMs + MAX_QUEUED_MS));
        reads.put(reader, new UnansweredRead(endedMs, latestStartMs + MAX_READ_MS));
    }

    /** A write has ended without an answer: its writer may wait for the state of a reader until the deadline. */
    public void onWriteUnanswered(long reader, double endedMs, double deadlineMs) {
        writesUntilMs.merge(reader, Math.max(endedMs, deadlineMs) + MAX_CLOSE_MS, Math::max);
    }

    /** Takes over what an earlier run of the same request may have left. */
    public void addAll(LateStates earlier) {
        earlier.reads.forEach(reads::putIfAbsent);
        earlier.writesUntilMs.forEach((reader, untilMs) -> writesUntilMs.merge(reader, untilMs, Math::max));
    }

    /** Whether a release at a reader may come, or have come, too early. */
    public boolean contains(long reader) {
        return reads.containsKey(reader) || writesUntilMs.containsKey(reader);
    }

    /** From when on a release at a reader frees every state; negative infinity if any release does. */
    public double latestMs(long reader) {
        double writeUntilMs = writesUntilMs.getOrDefault(reader, Double.NEGATIVE_INFINITY);
        return Math.max(latestReadMs(reader), writeUntilMs);
    }

    /** Until when a read that ended without an answer may leave a state at its reader; negative infinity if none may. */
    public double latestReadMs(long reader) {
        return reads.containsKey(reader) ? reads.get(reader).untilMs() : Double.NEGATIVE_INFINITY;
    }

    /** When a read last ended without an answer at a reader; NaN if none did. */
    public double unansweredReadMs(long reader) {
        return reads.containsKey(reader) ? reads.get(reader).endedMs() : Double.NaN;
    }
}
