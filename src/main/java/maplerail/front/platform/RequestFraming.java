package maplerail.front.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Follows the framing of requests: where each begins and ends. It is strict, as what follows a request may be served: a
 * head or a body whose end is in doubt makes everything behind it unreadable.
 */
final class RequestFraming {
    /** Limits a head, and the lines around each chunk. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Longest line that is looked at as a whole. */
    private static final int MAX_SHORT_LINE_BYTES = 64;
    /** The ends of request lines, as {@link #lineEnd} has them. */
    private static final long HTTP_1_1 = 0x485454502f312e31L;
    private static final long HTTP_1_0 = 0x485454502f312e30L;
    private static final String LENGTH_PATTERN = "[0-9]{1,10}";
    private static final String CHUNK_SIZE_PATTERN = "[0-9a-fA-F]{1,8}";

    private enum State { BETWEEN_REQUESTS, HEAD, BODY, CHUNK_SIZE, CHUNK_END, TRAILERS, UNREADABLE }

    /** The first bytes of the current line: a line that matters is not longer. */
    private final byte[] line = new byte[MAX_SHORT_LINE_BYTES];
    private int lineLength;
    /** The last eight bytes of the current line, the latest one lowest. */
    private long lineEnd;
    private boolean lineHasColon;
    private boolean carriageReturnRead;
    private State state = State.BETWEEN_REQUESTS;
    private int headBytes;
    private boolean requestLineRead;
    private boolean chunked;
    private long remainingBytes;
    private boolean lengthGiven;
    private long startedRequests;
    private long readBytes;
    private long completeBytes;

    /** Returns the framing of a request of which the chunked body is to come. */
    static RequestFraming ofChunkedBody() {
        RequestFraming framing = new RequestFraming();
        framing.startRequest();
        framing.chunked = true;
        framing.state = State.CHUNK_SIZE;
        return framing;
    }

    /** Reads all bytes of a buffer. */
    void read(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (state == State.UNREADABLE) {
                skip(bytes, bytes.remaining());
            } else if (state == State.BODY) {
                int count = (int) Math.min(remainingBytes, bytes.remaining());
                skip(bytes, count);
                remainingBytes -= count;
                if (remainingBytes == 0) endBody();
            } else {
                readLineByte(bytes.get());
                readBytes++;
                if (state == State.BETWEEN_REQUESTS) completeBytes = readBytes;
            }
        }
    }

    private void skip(ByteBuffer bytes, int count) {
        bytes.position(bytes.position() + count);
        readBytes += count;
    }

    private void endBody() {
        if (chunked) state = State.CHUNK_END;
        else endRequest();
    }

    private void endRequest() {
        state = State.BETWEEN_REQUESTS;
        completeBytes = readBytes;
    }

    private void readLineByte(byte next) {
        if (state == State.BETWEEN_REQUESTS) startRequest();
        boolean bareCarriageReturn = carriageReturnRead && next != '\n';
        if (++headBytes > MAX_HEAD_BYTES || bareCarriageReturn) {
            state = State.UNREADABLE;
        } else if (next == '\n') {
            endLine();
        } else if (next == '\r') {
            carriageReturnRead = true;
        } else {
            addToLine(next);
        }
    }

    private void addToLine(byte next) {
        if (lineLength < line.length) line[lineLength] = next;
        lineLength++;
        lineEnd = lineEnd << Byte.SIZE | next & 0xff;
        lineHasColon |= next == ':';
    }

    private void startRequest() {
        state = State.HEAD;
        startedRequests++;
        headBytes = 0;
        requestLineRead = false;
        chunked = false;
        lengthGiven = false;
        remainingBytes = 0;
    }

    private void endLine() {
        boolean valid = switch (state) {
            case HEAD -> readHeadLine();
            case CHUNK_SIZE -> readChunkSize();
            case CHUNK_END -> readChunkEnd();
            default -> readTrailer();
        };
        if (!valid) state = State.UNREADABLE;
        lineLength = 0;
        lineEnd = 0;
        lineHasColon = false;
        carriageReturnRead = false;
    }

    private String lineText() {
        return new String(line, 0, Math.min(lineLength, line.length), StandardCharsets.ISO_8859_1);
    }

    private boolean readHeadLine() {
        if (!requestLineRead) {
            requestLineRead = true;
            return lineEnd == HTTP_1_1 || lineEnd == HTTP_1_0;
        }
        if (lineLength == 0) return endHead();
        if (!lineHasColon || line[0] == ':') return false;
        int first = line[0] | 0x20; // in lower case
        return first != 'c' && first != 't' || readFramingField();
    }

    private boolean readFramingField() {
        String[] field = lineText().split(":", 2);
        String value = field.length < 2 ? "" : field[1].trim();
        boolean complete = lineLength <= line.length;
        return switch (field[0].toLowerCase(Locale.ROOT)) {
            case "content-length" -> complete && readLength(value);
            case "transfer-encoding" -> complete && readEncoding(value);
            default -> true;
        };
    }

    private boolean readLength(String value) {
        if (lengthGiven || chunked || !value.matches(LENGTH_PATTERN)) return false;
        lengthGiven = true;
        remainingBytes = Long.parseLong(value);
        return true;
    }

    private boolean readEncoding(String value) {
        if (lengthGiven || chunked) return false;
        chunked = value.equalsIgnoreCase("chunked");
        return chunked;
    }

    private boolean endHead() {
        headBytes = 0;
        if (chunked) state = State.CHUNK_SIZE;
        else if (remainingBytes > 0) state = State.BODY;
        else state = State.BETWEEN_REQUESTS;
        return true;
    }

    private boolean readChunkSize() {
        String digits = lineText().split(";", 2)[0].trim();
        if (!digits.matches(CHUNK_SIZE_PATTERN)) return false;
        headBytes = 0;
        remainingBytes = Long.parseLong(digits, 16);
        state = remainingBytes == 0 ? State.TRAILERS : State.BODY;
        return true;
    }

    private boolean readChunkEnd() {
        state = State.CHUNK_SIZE;
        return lineLength == 0;
    }

    private boolean readTrailer() {
        if (lineLength == 0) state = State.BETWEEN_REQUESTS;
        return lineLength == 0 || lineHasColon;
    }

    /** Returns the number of requests of which at least one byte has been read. */
    long startedRequests() {
        return startedRequests;
    }

    /** Returns the number of bytes up to the end of the last complete request. */
    long completeBytes() {
        return completeBytes;
    }

    /** Returns true if the last request that was started is complete. */
    boolean isBetweenRequests() {
        return state == State.BETWEEN_REQUESTS;
    }

    /** Returns true if the end of a request could not be found, so that nothing behind it can be read. */
    boolean isUnreadable() {
        return state == State.UNREADABLE;
    }
}
