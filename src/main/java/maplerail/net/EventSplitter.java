package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;
import maplerail.policy.AnswerLimits;

/**
 * Splits a stream of server-sent events after each event, checks it line by line as it arrives, and tells whether it is
 * whole. Guards against forwarding part of an event when a stream breaks: the client would have to count a token that it
 * cannot parse.
 */
final class EventSplitter {
    /** Receives the parts of the stream that are complete, in order. */
    interface Sink {
        /** Receives events, and what stands between them. */
        void events(byte[] events);

        /** Receives comments and unknown fields alone. */
        void comments(byte[] comments);
    }

    /** The bytes of a line that are kept: enough to recognize the last event, its fields and the size of a chunk. */
    private static final int KEPT_LINE_BYTES = 16;
    /** Longest name of a field: a longer line without a colon is noise. */
    private static final int MAX_FIELD_NAME_BYTES = 64;
    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,8}[ \t]*(;.*)?");
    private static final Set<String> LAST_EVENT_LINES = Set.of("data: [DONE]", "data:[DONE]");
    private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");

    private final int maxChunkEvents;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    /** The first bytes of the current line. */
    private final byte[] lineStart = new byte[KEPT_LINE_BYTES];
    private int lineLength;
    private boolean lineHasColon;
    private boolean lineEndsWithCarriageReturn;
    /** Whether a line since the last blank one belongs to an event. */
    private boolean inEvent;
    /** Whether any line since the last blank one has text. */
    private boolean inBlock;
    private boolean lastEventSeen;
    private boolean anyEventSeen;
    private boolean lastEventArrived;
    private boolean textArrived;
    private int chunkEvents;
    private boolean valid = true;

    /** Creates a splitter of a stream whose chunks hold a limited number of events. */
    EventSplitter(int maxChunkEvents) {
        this.maxChunkEvents = maxChunkEvents;
    }

    /**
     * Passes on all that is complete now, in one part. Comments before the first event are kept for it. Returns false,
     * and passes on nothing, if the bytes are no stream of events; also if an incomplete event exceeds the limit.
     */
    boolean feed(ByteBuffer part, Sink sink) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        textArrived = false;
        int end = 0;
        int lineBegin = 0;
        boolean eventEnded = false;
        for (int i = 0; i < bytes.length && valid; i++) {
            if (isControl(bytes[i])) valid = false;
            if (bytes[i] != '\n') continue;
            addToLine(bytes, lineBegin, i);
            lineBegin = i + 1;
            if (isBlankLine()) {
                if (inEvent) eventEnded = true;
                if (inEvent || inBlock && anyEventSeen) end = lineBegin;
                endBlock();
            } else {
                endLine();
            }
            startLine();
        }
        addToLine(bytes, lineBegin, bytes.length);
        if (!valid) return false;
        if (end > 0) passOn(bytes, end, eventEnded, sink);
        pending.write(bytes, end, bytes.length - end);
        return pending.size() <= AnswerLimits.MAX_EVENT_BYTES;
    }

    private void passOn(byte[] bytes, int end, boolean eventEnded, Sink sink) {
        pending.write(bytes, 0, end);
        byte[] complete = pending.toByteArray();
        // A new buffer, as the old one keeps the size of the largest event.
        pending = new ByteArrayOutputStream();
        if (eventEnded) sink.events(complete);
        else sink.comments(complete);
    }

    /** Starts the count of the events of a chunk anew. */
    void endChunk() {
        chunkEvents = 0;
    }

    private static boolean isControl(byte next) {
        return next >= 0 && next < ' ' && next != '\n' && next != '\r' && next != '\t';
    }

    private void addToLine(byte[] bytes, int from, int to) {
        if (from == to) return;
        for (int i = from; i < to && lineLength + i - from < KEPT_LINE_BYTES; i++) {
            lineStart[lineLength + i - from] = bytes[i];
        }
        for (int i = from; i < to && !lineHasColon; i++) lineHasColon = bytes[i] == ':';
        lineLength += to - from;
        lineEndsWithCarriageReturn = bytes[to - 1] == '\r';
        if (!lineHasColon && lineLength > MAX_FIELD_NAME_BYTES) valid = false;
        if (mayBeEventField()) textArrived = true;
    }

    private void startLine() {
        lineLength = 0;
        lineHasColon = false;
        lineEndsWithCarriageReturn = false;
    }

    /** Returns the length of the current line without its end. */
    private int textLength() {
        return lineEndsWithCarriageReturn ? lineLength - 1 : lineLength;
    }

    private boolean isBlankLine() {
        return textLength() == 0;
    }

    /** Returns true if the current line, of which a part has arrived, is a field of an event or may become one. */
    private boolean mayBeEventField() {
        if (isBlankLine()) return false;
        if (lineHasColon) return isEventField();
        String text = lineText();
        return EVENT_FIELDS.stream().anyMatch(field -> field.startsWith(text));
    }

    /** Returns true if the current line, which is complete at least up to its colon, is a field of an event. */
    private boolean isEventField() {
        String text = lineText();
        int colon = text.indexOf(':');
        return EVENT_FIELDS.contains(colon < 0 ? text : text.substring(0, colon));
    }

    /** Ends a line: the size of a chunk among the events shows that an earlier size was wrong. */
    private void endLine() {
        boolean eventField = isEventField();
        if (!eventField && CHUNK_SIZE.matcher(lineText()).matches()) valid = false;
        inBlock = true;
        inEvent |= eventField;
        if (lineStart[0] != ':') lastEventSeen = isLastEvent();
    }

    private void endBlock() {
        if (inEvent) {
            anyEventSeen = true;
            textArrived = true;
            lastEventArrived |= lastEventSeen;
            if (++chunkEvents > maxChunkEvents) valid = false;
        }
        inEvent = false;
        inBlock = false;
    }

    /** Returns the current line, or the first bytes of a longer one. */
    private String lineText() {
        return new String(lineStart, 0, Math.min(textLength(), KEPT_LINE_BYTES), StandardCharsets.ISO_8859_1);
    }

    private boolean isLastEvent() {
        return textLength() < KEPT_LINE_BYTES && LAST_EVENT_LINES.contains(lineText());
    }

    /** Returns true if what was fed last held text of an event, whole or not. */
    boolean textArrived() {
        return textArrived;
    }

    /** Returns true once the last event of an answer has been passed on. */
    boolean lastEventArrived() {
        return lastEventArrived;
    }

    /** Returns true if the stream may end here: what has been received last is the last event of an answer. */
    boolean isWhole() {
        return valid && (isBlankLine() ? lastEventSeen : isLastEvent());
    }

    /** Returns the number of bytes received after the last complete event. */
    int unfinishedBytes() {
        return pending.size();
    }

    /** Lets go of what is held. */
    void discard() {
        pending = new ByteArrayOutputStream();
    }

    /** Returns the bytes received after the last complete event. */
    byte[] remainder() {
        return pending.toByteArray();
    }
}
