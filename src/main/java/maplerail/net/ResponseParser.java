package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Parses one HTTP/1.1 response strictly. Undertow's client is too lenient: its {@code ChunkReader} takes a size that it
 * cannot parse for 0 (the last chunk) and skips whatever follows a chunk, and it does not limit the size of a head. A
 * corrupt stream must never end as if it were complete. Parts of a chunk are passed on as they arrive, so that their
 * receiver can check them.
 */
final class ResponseParser {
    /** Limits all heads of a response together, interim ones included, and the trailers. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Limits each line around a chunk. */
    private static final int MAX_CHUNK_LINE_BYTES = 4 * 1024;
    /** Limits the 1xx responses that may precede the actual one. */
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int MAX_HEADER_FIELDS = 100;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    private enum State { HEAD, FIXED_LENGTH_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, BODY_UNTIL_CLOSE, DONE }

    private final ResponseHandler handler;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private State state = State.HEAD;
    private HeaderMap headers = new HeaderMap();
    private int status;
    private int interimCount;
    private int fieldCount;
    private int headBytes;
    private long remainingBytes;
    private boolean keepAlive;
    /** True while a head or a chunk has been received in part. */
    private boolean partial;
    private boolean headComplete;
    /** Number of elements of the framing of chunks of which a part has been received. */
    private int framingElements;
    private int sizeDigits;
    private boolean inSizeExtension;

    ResponseParser(ResponseHandler handler) {
        this.handler = handler;
    }

    /**
     * Parses received bytes up to the end of the response. Bytes that remain in the buffer then belong to no response.
     */
    void feed(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining() && state != State.DONE) {
            switch (state) {
                case FIXED_LENGTH_BODY, BODY_UNTIL_CLOSE -> readBody(bytes);
                case CHUNK_DATA -> readChunk(bytes);
                default -> {
                    byte next = bytes.get();
                    if (!partial && headComplete) framingElements++;
                    partial = true;
                    checkLineLength();
                    if (state == State.CHUNK_SIZE) checkSizeSoFar(next);
                    if (next == '\n') parseLine();
                    else lineBuffer.write(next);
                }
            }
        }
    }

    private void checkLineLength() throws IOException {
        boolean chunkLine = state == State.CHUNK_SIZE || state == State.CHUNK_END;
        if (++headBytes > (chunkLine ? MAX_CHUNK_LINE_BYTES : MAX_HEAD_BYTES))
            throw new IOException(headComplete ? "line around a chunk is too long" : "response head is too long");
    }

    /** Returns the status code, or 0 before the status line has been received. */
    int status() {
        return status;
    }

    /** Returns true once the response is complete. */
    boolean done() {
        return state == State.DONE;
    }

    /** Returns true while a head or a chunk has been received in part. */
    boolean incomplete() {
        return partial && state != State.DONE;
    }

    /** Returns true once the head of the actual response is complete, after any interim responses. */
    boolean headComplete() {
        return headComplete;
    }

    /** Returns true while a head has been received in part and the head of the actual response is not complete. */
    boolean inHead() {
        return incomplete() && !headComplete;
    }

    /**
     * Returns the number of the element of a chunked body's framing (a chunk's size, its end, the trailers) that has been
     * received in part; 0 if there is none.
     */
    int unfinishedFraming() {
        return headComplete && partial && state != State.DONE && state != State.CHUNK_DATA ? framingElements : 0;
    }

    /** Discards the rest of the response. */
    void discardRest() {
        state = State.DONE;
    }

    /** Returns true unless the response says that its connection cannot be reused. */
    boolean keepAlive() {
        return keepAlive;
    }

    /** Handles the end of input; returns true if the response is complete with it. */
    boolean endOfInput() {
        if (state == State.BODY_UNTIL_CLOSE) state = State.DONE;
        return done();
    }

    private void readBody(ByteBuffer bytes) {
        int count = state == State.BODY_UNTIL_CLOSE ? bytes.remaining()
                : (int) Math.min(remainingBytes, bytes.remaining());
        ByteBuffer part = bytes.duplicate().limit(bytes.position() + count);
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
        if (state == State.FIXED_LENGTH_BODY && remainingBytes == 0) state = State.DONE;
        handler.body(part);
    }

    private void readChunk(ByteBuffer bytes) {
        int count = (int) Math.min(remainingBytes, bytes.remaining());
        ByteBuffer part = bytes.duplicate().limit(bytes.position() + count);
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = State.CHUNK_END;
            finishElement();
        }
        handler.body(part);
    }

    private void parseLine() throws IOException {
        byte[] raw = lineBuffer.toByteArray();
        lineBuffer.reset();
        boolean endsWithCr = raw.length > 0 && raw[raw.length - 1] == '\r';
        String text = new String(raw, 0, raw.length - (endsWithCr ? 1 : 0), StandardCharsets.ISO_8859_1);
        if (text.chars().anyMatch(c -> c < ' ' && c != '\t'))
            throw new IOException("control character in a head or chunk line");
        switch (state) {
            case HEAD -> parseHeadLine(text);
            case CHUNK_SIZE -> parseChunkSize(text, endsWithCr);
            case CHUNK_END -> {
                if (!endsWithCr || !text.isEmpty()) throw new IOException("chunk data does not match the chunk size");
                state = State.CHUNK_SIZE;
                finishElement();
                handler.chunkEnd();
            }
            default -> parseTrailer(text);
        }
    }

    /** Checks a trailer, which is not used otherwise; an empty line ends the response. */
    private void parseTrailer(String text) throws IOException {
        if (text.isEmpty()) state = State.DONE;
        else checkField(text);
    }

    private int checkField(String text) throws IOException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
            throw new IOException("invalid header field");
        }
        if (++fieldCount > MAX_HEADER_FIELDS) throw new IOException("too many header fields");
        return colon;
    }

    private void finishElement() {
        partial = false;
        headBytes = 0;
        remainingBytes = 0;
        sizeDigits = 0;
        inSizeExtension = false;
    }

    /** Checks the size of a chunk as it is read: it may never end. */
    private void checkSizeSoFar(byte next) throws IOException {
        inSizeExtension |= next == ';';
        int digit = Character.digit(next, 16);
        if (inSizeExtension || digit < 0) return;
        remainingBytes = remainingBytes * 16 + digit;
        if (++sizeDigits > MAX_CHUNK_SIZE_DIGITS) throw new IOException("invalid chunk size");
        if (remainingBytes > handler.maxChunkBytes()) throw new IOException("chunk is too large");
    }

    private void parseChunkSize(String text, boolean endsWithCr) throws IOException {
        int end = text.indexOf(';');
        String digits = (end < 0 ? text : text.substring(0, end)).trim();
        if (!endsWithCr || !digits.matches("[0-9a-fA-F]{1," + MAX_CHUNK_SIZE_DIGITS + "}")) {
            throw new IOException("invalid chunk size");
        }
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void parseHeadLine(String text) throws IOException {
        if (status == 0) {
            if (!text.matches("HTTP/1\\.[01] [1-9][0-9][0-9]( .*)?")) throw new IOException("invalid status line");
            status = Integer.parseInt(text.substring(9, 12));
            keepAlive = text.charAt(7) == '1';
        } else if (text.isEmpty()) {
            completeHead();
        } else {
            int colon = checkField(text);
            headers.add(new HttpString(text.substring(0, colon)), text.substring(colon + 1).trim());
        }
    }

    private void completeHead() throws IOException {
        if (status < 200) {
            // Interim responses carry nothing that is needed here.
            if (status == 101 || ++interimCount > MAX_INTERIM_RESPONSES)
                throw new IOException("unexpected interim response: status " + status);
            status = 0;
            headers = new HeaderMap();
            partial = false;
            return;
        }
        String connection = headers.getFirst(Headers.CONNECTION);
        if (connection != null) keepAlive &= !connection.toLowerCase(java.util.Locale.ROOT).contains("close");
        boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
        boolean hasLength = headers.contains(Headers.CONTENT_LENGTH);
        if (chunked && (hasLength || headers.count(Headers.TRANSFER_ENCODING) > 1
                || !headers.getFirst(Headers.TRANSFER_ENCODING).equalsIgnoreCase("chunked"))) {
            throw new IOException("invalid or ambiguous Transfer-Encoding");
        }
        if (status == 204 || status == 304) {
            state = State.DONE;
        } else if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (hasLength) {
            String length = headers.getFirst(Headers.CONTENT_LENGTH);
            if (headers.count(Headers.CONTENT_LENGTH) > 1 || !length.matches("[0-9]{1,15}")) {
                throw new IOException("invalid or repeated Content-Length");
            }
            state = Long.parseLong(length) == 0 ? State.DONE : State.FIXED_LENGTH_BODY;
        } else {
            state = State.BODY_UNTIL_CLOSE;
            keepAlive = false;
        }
        finishElement();
        if (state == State.FIXED_LENGTH_BODY) remainingBytes = Long.parseLong(headers.getFirst(Headers.CONTENT_LENGTH));
        headComplete = true;
        handler.head(status, headers);
    }
}
