package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private final StringBuilder passedOn = new StringBuilder();

    /** Feeds a text in pieces and returns whether all of them were valid. */
    private boolean feed(EventSplitter splitter, String text, int pieceBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        boolean valid = true;
        for (int i = 0; i < bytes.length && valid; i += pieceBytes) {
            ByteBuffer piece = ByteBuffer.wrap(bytes, i, Math.min(pieceBytes, bytes.length - i));
            valid = splitter.feed(piece, events -> passedOn.append(new String(events, StandardCharsets.ISO_8859_1)));
        }
        return valid;
    }

    /** Guards against an end of a stream that depends on how its bytes arrive. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 16, 1_000})
    void aStreamIsWholeOnceItsLastEventHasArrived(int pieceBytes) {
        EventSplitter splitter = new EventSplitter();
        String events = "data: {\"a\":\"[DONE]\"}\r\n\r\nevent: x\ndata\n\n: note\n\n";
        assertThat(feed(splitter, events, pieceBytes)).isTrue();
        assertThat(splitter.isWhole()).isFalse();
        assertThat(feed(splitter, "data: [DONE]\r\n\r\n: note\n\n", pieceBytes)).isTrue();
        assertThat(splitter.isWhole()).isTrue();
        assertThat(passedOn.toString()).isEqualTo(events + "data: [DONE]\r\n\r\n: note\n\n");
    }

    /** Guards against passing on the frame of a chunk as a part of an event. */
    @ParameterizedTest
    @CsvSource({"1f,false", "4,false", "0,false", "deadBEEF,false", "noise,true", "123456789,true", "1f: x,true"})
    void aChunkSizeAmongEventsIsInvalid(String line, boolean valid) {
        assertThat(feed(new EventSplitter(), "data: 1\n\n" + line + "\r\ndata: 2\n\n", 3)).isEqualTo(valid);
        assertThat(passedOn.toString()).startsWith("data: 1\n\n");
        if (!valid) assertThat(passedOn.toString()).doesNotContain("data: 2");
    }
}
