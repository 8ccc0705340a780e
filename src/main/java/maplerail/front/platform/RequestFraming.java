package maplerail.front.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Follows the framing of requests of which nothing is kept: where each begins and ends. It is strict, as what follows a
 * request may be served: a head or a body whose end is in doubt makes everything behind it unreadable.
 */
final class RequestFraming {
    /** Limits a head, and the lines around each chunk. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final String LENGTH_PATTERN = "[0-9]{1,10}";
    private static final String CHUNK_SIZE_PATTERN = "[0-9a-fA-F]{1,8}";

    private enum State { BETWEEN_REQUESTS, HEAD, BODY, CHUNK_SIZE, CHUNK_END, TRAILERS, UNREADABLE }

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private State state = State.BETWEEN_REQUESTS;
    private int headBytes;
    private boolean requestLineRead;
    private boolean chunked;
    private long remainingBytes;
    private boolean lengthGiven;
    private long startedRequests;
    private long readBytes;
    private long completeBytes;

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
        if (++headBytes > MAX_HEAD_BYTES) {
            state = State.UNREADABLE;
        } else if (next != '\n') {
            line.write(next);
        } else {
            endLine();
        }
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
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        if (text.endsWith("\r")) text = text.substring(0, text.length() - 1);
        boolean valid = text.indexOf('\r') < 0 && switch (state) {
            case HEAD -> readHeadLine(text);
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> readChunkEnd(text);
            default -> readTrailer(text);
        };
        if (!valid) state = State.UNREADABLE;
    }

    private boolean readHeadLine(String text) {
        if (!requestLineRead) {
            requestLineRead = true;
            return text.endsWith(" HTTP/1.1") || text.endsWith(" HTTP/1.0");
        }
        if (text.isEmpty()) return endHead();
        int colon = text.indexOf(':');
        if (colon <= 0) return false;
        String value = text.substring(colon + 1).trim();
        return switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> readLength(value);
            case "transfer-encoding" -> readEncoding(value);
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

    private boolean readChunkSize(String text) {
        String digits = text.split(";", 2)[0].trim();
        if (!digits.matches(CHUNK_SIZE_PATTERN)) return false;
        headBytes = 0;
        remainingBytes = Long.parseLong(digits, 16);
        state = remainingBytes == 0 ? State.TRAILERS : State.BODY;
        return true;
    }

    private boolean readChunkEnd(String text) {
        state = State.CHUNK_SIZE;
        return text.isEmpty();
    }

    private boolean readTrailer(String text) {
        if (text.isEmpty()) state = State.BETWEEN_REQUESTS;
        return text.isEmpty() || text.indexOf(':') > 0;
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
