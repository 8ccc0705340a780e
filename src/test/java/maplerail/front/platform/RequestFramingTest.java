package maplerail.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFramingTest {
    private static final String FIXED = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3;x=y\r\nabc\r\n0\r\nName: value\r\n\r\n";
    private static final String NO_BODY = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    private static RequestFraming read(String text, int bytesAtOnce) {
        RequestFraming framing = new RequestFraming();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += bytesAtOnce) {
            framing.read(ByteBuffer.wrap(bytes, i, Math.min(bytesAtOnce, bytes.length - i)));
        }
        return framing;
    }

    /** Guards against counting requests wrongly when their bytes arrive in pieces. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 64, 10_000})
    void requestsAreCountedHoweverTheirBytesArrive(int bytesAtOnce) {
        String complete = FIXED + CHUNKED + NO_BODY + FIXED;
        RequestFraming framing = read(complete + "POST /", bytesAtOnce);
        assertThat(framing.startedRequests()).isEqualTo(5);
        assertThat(framing.completeBytes()).isEqualTo(complete.length());
        assertThat(framing.isBetweenRequests()).isFalse();
        assertThat(read(complete, bytesAtOnce).isBetweenRequests()).isTrue();
    }

    /** Guards against taking the body of a request with a doubtful length for the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"noise\r\n", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n",
            "POST / HTTP/1.1\r\nContent-Length: -1\r\n", "POST / HTTP/1.1\r\nContent-Length: 0x5\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n", "POST / HTTP/1.1\r\nno colon\r\n",
            "POST / HTTP/1.1\r\nA: b\rContent-Length: 5\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"})
    void aRequestWhoseEndIsInDoubtMakesTheRestUnreadable(String doubtful) {
        RequestFraming framing = read(FIXED + doubtful + "\r\n" + FIXED + FIXED, 16);
        assertThat(framing.isUnreadable()).isTrue();
        assertThat(framing.startedRequests()).isEqualTo(2);
        assertThat(framing.completeBytes()).isEqualTo(FIXED.length());
    }
}
