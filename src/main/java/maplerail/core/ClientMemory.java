package maplerail.core;

import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import maplerail.policy.MemoryLimits;

/**
 * Counts the bytes that are held for clients, by kind, against limits. When a limit is reached, the incomplete request
 * that has been quiet for longest yields, or the largest unfinished event. All calls must be made on the loop.
 */
public final class ClientMemory {
    /** What bytes are held for. */
    public enum Kind {
        /** Requests of which a part has arrived. */
        INCOMPLETE_REQUEST,
        /** Complete requests whose payload may still be sent to an engine. */
        OPEN_REQUEST,
        /** What clients have sent after a request that is not answered yet. */
        PIPELINED_REQUEST,
        /** Parts of answers that their clients have not read yet. */
        UNREAD_ANSWER,
        /** Parts of events that engines have not sent in full yet. */
        UNFINISHED_EVENT
    }

    /** A request of which a part has arrived. */
    public interface IncompleteRequest {
        /** Lets go of what has arrived; the memory no longer counts it. */
        void yieldMemory();
    }

    /** A part of an event that its engine has not sent in full yet. */
    public interface UnfinishedEvent {
        /** Lets go of what has arrived, which breaks the stream; the memory no longer counts it. */
        void yieldMemory();
    }

    private static final double LOG_INTERVAL_MS = 1_000;

    private final MemoryLimits limits;
    private final EventLoop loop;
    private final Consumer<String> log;
    private final long[] heldBytes = new long[Kind.values().length];
    /** Bytes of each incomplete request; the one that has been quiet for longest comes first. */
    private final Map<IncompleteRequest, Integer> incompleteRequests = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<UnfinishedEvent, Integer> unfinishedEvents = new LinkedHashMap<>();
    private long totalBytes;
    private long peakBytes;
    private long yielded;
    private long yieldedEvents;
    private double loggedMs = Double.NEGATIVE_INFINITY;

    /** Creates an account on which nothing is held; logs when a limit is reached. */
    public ClientMemory(MemoryLimits limits, EventLoop loop, Consumer<String> log) {
        this.limits = limits;
        this.loop = loop;
        this.log = log;
    }

    /** Creates an account without limits. */
    public static ClientMemory unlimited(EventLoop loop) {
        return new ClientMemory(new MemoryLimits(Long.MAX_VALUE), loop, line -> {});
    }

    /** Adds bytes of an incomplete request that have just arrived, and makes others yield, or this one, if need be. */
    public void addIncomplete(IncompleteRequest request, int bytes) {
        incompleteRequests.merge(request, bytes, Integer::sum);
        add(Kind.INCOMPLETE_REQUEST, bytes);
        makeRoom(0);
    }

    /** Stops counting a request as incomplete: it has arrived, or its bytes were let go. */
    public void removeIncomplete(IncompleteRequest request) {
        Integer bytes = incompleteRequests.remove(request);
        if (bytes != null) add(Kind.INCOMPLETE_REQUEST, -bytes);
    }

    /** Sets how many bytes are held of an event that is not whole, 0 if none, and makes the largest ones yield if need be. */
    public void setUnfinishedEvent(UnfinishedEvent event, int bytes) {
        Integer before = bytes == 0 ? unfinishedEvents.remove(event) : unfinishedEvents.put(event, bytes);
        add(Kind.UNFINISHED_EVENT, bytes - (before == null ? 0 : before));
        while (limits.mustUnfinishedEventYield(held(Kind.UNFINISHED_EVENT))) yieldLargestEvent();
    }

    private void yieldLargestEvent() {
        Map.Entry<UnfinishedEvent, Integer> largest = Collections.max(unfinishedEvents.entrySet(),
                Map.Entry.comparingByValue());
        UnfinishedEvent event = largest.getKey();
        logLimitReached();
        yieldedEvents++;
        setUnfinishedEvent(event, 0);
        event.yieldMemory();
    }

    /** Returns whether a complete request may be held; incomplete requests yield before it is refused. */
    boolean hasRoomFor(int requestBytes) {
        makeRoom(requestBytes);
        boolean hasRoom = limits.mayHold(totalBytes, requestBytes);
        if (!hasRoom) logLimitReached();
        return hasRoom;
    }

    /** Returns true while what is held of a kind should rather wait at its sender. */
    public boolean isShort(Kind kind) {
        return limits.isShort(held(kind), totalBytes);
    }

    /** Adds bytes that are held; a negative number if they are no longer held. */
    public void add(Kind kind, long bytes) {
        heldBytes[kind.ordinal()] += bytes;
        totalBytes += bytes;
        peakBytes = Math.max(peakBytes, totalBytes);
    }

    private void makeRoom(int neededBytes) {
        while (limits.mustIncompleteYield(held(Kind.INCOMPLETE_REQUEST), totalBytes, neededBytes)) {
            Iterator<IncompleteRequest> longestQuiet = incompleteRequests.keySet().iterator();
            IncompleteRequest yielding = longestQuiet.next();
            logLimitReached();
            yielded++;
            removeIncomplete(yielding);
            yielding.yieldMemory();
        }
    }

    private void logLimitReached() {
        if (loop.nowMs() - loggedMs < LOG_INTERVAL_MS) return;
        loggedMs = loop.nowMs();
        log.accept("memory for clients is short: " + describe());
    }

    /** Returns the number of bytes of a kind that are held now. */
    public long held(Kind kind) {
        return heldBytes[kind.ordinal()];
    }

    /** Describes what is held, for the log. */
    public String describe() {
        StringBuilder line = new StringBuilder(120);
        for (Kind kind : Kind.values()) line.append(kind).append('=').append(held(kind)).append(' ');
        return line.append("of ").append(limits.totalBytes()).append(" bytes, at most ").append(peakBytes)
                .append(" so far; incomplete requests that had to yield: ").append(yielded).append(", events: ")
                .append(yieldedEvents).toString();
    }
}
