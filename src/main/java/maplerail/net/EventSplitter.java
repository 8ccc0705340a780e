package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line, and tells whether the stream is whole. Guards against
 * forwarding part of an event when a stream breaks: the client would have to count a token that it cannot parse.
 */
final class EventSplitter {
    /** Limits the size of an incomplete event. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    /** The bytes of a line that are kept: enough to recognize the last event and the size of a chunk. */
    private static final int KEPT_LINE_BYTES = 16;
    private static final String CHUNK_SIZE_PATTERN = "[0-9a-fA-F]{1,8}";
    private static final Set<String> LAST_EVENT_LINES = Set.of("data: [DONE]", "data:[DONE]");

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    /** The first bytes of the current line. */
    private final byte[] lineStart = new byte[KEPT_LINE_BYTES];
    private int lineLength;
    private boolean lineHasColon;
    private boolean lineEndsWithCarriageReturn;
    private boolean lastEventSeen;
    private boolean valid = true;

    /**
     * Passes all events that are complete now to the consumer, in one part. Returns false if the bytes are no stream of
     * events, or if an incomplete event exceeds the limit.
     */
    boolean feed(ByteBuffer part, Consumer<byte[]> consumer) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        int end = 0;
        int lineBegin = 0;
        for (int i = 0; i < bytes.length && valid; i++) {
            if (bytes[i] != '\n') continue;
            addToLine(bytes, lineBegin, i);
            lineBegin = i + 1;
            if (isBlankLine()) end = lineBegin;
            else checkLine();
            startLine();
        }
        if (valid) addToLine(bytes, lineBegin, bytes.length);
        pending.write(bytes, 0, end);
        if (end > 0) {
            byte[] events = pending.toByteArray();
            pending.reset();
            consumer.accept(events);
        }
        pending.write(bytes, end, bytes.length - end);
        return valid && pending.size() <= MAX_EVENT_BYTES;
    }

    private void addToLine(byte[] bytes, int from, int to) {
        if (from == to) return;
        for (int i = from; i < to && lineLength + i - from < KEPT_LINE_BYTES; i++) {
            lineStart[lineLength + i - from] = bytes[i];
        }
        for (int i = from; i < to && !lineHasColon; i++) lineHasColon = bytes[i] == ':';
        lineLength += to - from;
        lineEndsWithCarriageReturn = bytes[to - 1] == '\r';
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

    /** Checks a line: the size of a chunk among the events shows that an earlier size was wrong. */
    private void checkLine() {
        if (!lineHasColon && lineText().matches(CHUNK_SIZE_PATTERN)) valid = false;
        if (lineStart[0] != ':') lastEventSeen = isLastEvent();
    }

    /** Returns the current line, or the first bytes of a longer one. */
    private String lineText() {
        return new String(lineStart, 0, Math.min(textLength(), KEPT_LINE_BYTES), StandardCharsets.ISO_8859_1);
    }

    private boolean isLastEvent() {
        return textLength() < KEPT_LINE_BYTES && LAST_EVENT_LINES.contains(lineText());
    }

    /** Returns true if the stream may end here: what has been received last is the last event of an answer. */
    boolean isWhole() {
        return valid && (isBlankLine() ? lastEventSeen : isLastEvent());
    }

    /** Returns the bytes received after the last complete event. */
    byte[] remainder() {
        return pending.toByteArray();
    }
}
