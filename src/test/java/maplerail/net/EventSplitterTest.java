package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private static final int MAX_CHUNK_EVENTS = 3;

    private final StringBuilder passedOn = new StringBuilder();
    private final StringBuilder comments = new StringBuilder();
    private final EventSplitter.Sink sink = new EventSplitter.Sink() {
        @Override
        public void events(byte[] events) {
            passedOn.append(new String(events, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void comments(byte[] bytes) {
            comments.append(new String(bytes, StandardCharsets.ISO_8859_1));
            events(bytes);
        }
    };

    private static EventSplitter splitter() {
        return new EventSplitter(MAX_CHUNK_EVENTS);
    }

    /** Feeds a text in pieces and returns whether all of them were valid. */
    private boolean feed(EventSplitter splitter, String text, int pieceBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        boolean valid = true;
        for (int i = 0; i < bytes.length && valid; i += pieceBytes) {
            ByteBuffer piece = ByteBuffer.wrap(bytes, i, Math.min(pieceBytes, bytes.length - i));
            valid = splitter.feed(piece, sink);
        }
        return valid;
    }

    /** Guards against an end of a stream that depends on how its bytes arrive. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 16, 1_000})
    void aStreamIsWholeOnceItsLastEventHasArrived(int pieceBytes) {
        EventSplitter splitter = splitter();
        String events = "data: {\"a\":\"[DONE]\"}\r\n\r\nevent: x\ndata\n\n: note\n\n";
        assertThat(feed(splitter, events, pieceBytes)).isTrue();
        assertThat(splitter.isWhole()).isFalse();
        assertThat(feed(splitter, "data: [DONE]\r\n\r\n: note\n\n", pieceBytes)).isTrue();
        assertThat(splitter.isWhole()).isTrue();
        assertThat(passedOn.toString()).isEqualTo(events + "data: [DONE]\r\n\r\n: note\n\n");
    }

    /** Guards against passing on the frame of a chunk as a part of an event. */
    @ParameterizedTest
    @CsvSource({"1f,false", "4,false", "0,false", "deadBEEF,false", "noise,true", "123456789,true", "1f: x,true",
            "1f;a=b,false", "1f ;a:b,false", "data;a,true"})
    void aChunkSizeAmongEventsIsInvalid(String line, boolean valid) {
        assertThat(feed(splitter(), "data: 1\n\n" + line + "\r\ndata: 2\n\n", 3)).isEqualTo(valid);
        assertThat(passedOn.toString()).startsWith("data: 1\n\n");
        if (!valid) assertThat(passedOn.toString()).doesNotContain("data: 2");
    }

    /** Guards against holding an event back until its chunk is complete, and against passing on half of one. */
    @Test
    void anEventIsPassedOnOnceItsLastByteIsThere() {
        EventSplitter splitter = splitter();
        feed(splitter, "data: 1\n", 1);
        assertThat(passedOn).isEmpty();
        feed(splitter, "\nda", 3);
        assertThat(passedOn.toString()).isEqualTo("data: 1\n\n");
        assertThat(splitter.unfinishedBytes()).isEqualTo(2);
    }

    /** Guards against taking comments, blanks, unknown fields or frames for text of an answer. */
    @ParameterizedTest
    @CsvSource(delimiter = '!', textBlock = """
            data: x     ! true
            da          ! true
            event: x    ! true
            id          ! true
            ': note'    ! false
            foo: bar    ! false
            dates: x    ! false
            1f          ! false
            ' '         ! false
            '^'         ! false
            '~^~^'      ! false
            'data: x^^' ! true
            ': note^^'  ! false
            """)
    void onlyTheTextOfEventsIsProgress(String text, boolean progress) {
        EventSplitter splitter = splitter();
        feed(splitter, "data: 1\n\n", 100);
        assertThat(feed(splitter, text.replace('~', '\r').replace('^', '\n'), 100)).isTrue();
        assertThat(splitter.textArrived()).isEqualTo(progress);
    }

    /** Guards against passing on an event of which the same read shows that it lies in a chunk of a wrong size. */
    @Test
    void nothingOfAnInvalidPartIsPassedOn() {
        assertThat(feed(splitter(), "data: 2\n\n\r\n0\r\n\r\n", 100)).isFalse();
        assertThat(passedOn).isEmpty();
    }

    /** Comments may be passed on by themselves once an event has gone before. */
    @Test
    void commentsAreKeptForTheFirstEvent() {
        EventSplitter splitter = splitter();
        feed(splitter, ": a\n\n", 2);
        assertThat(passedOn).isEmpty();
        feed(splitter, "data: 1\n\n", 2);
        feed(splitter, ": b\n\n", 2);
        assertThat(passedOn.toString()).isEqualTo(": a\n\ndata: 1\n\n: b\n\n");
        assertThat(comments.toString()).isEqualTo(": b\n\n");
    }

    /** Guards against a chunk that goes on with sound-looking events beyond what its answer can hold. */
    @Test
    void aChunkWithMoreEventsThanAnAnswerIsInvalid() {
        EventSplitter splitter = splitter();
        assertThat(feed(splitter, "data: 1\n\n".repeat(MAX_CHUNK_EVENTS), 5)).isTrue();
        splitter.endChunk();
        assertThat(feed(splitter, "data: 1\n\n".repeat(MAX_CHUNK_EVENTS), 5)).isTrue();
        assertThat(feed(splitter, "data: 1\n\n", 5)).isFalse();
    }

    /** Guards against noise that has no end of a line. */
    @ParameterizedTest
    @CsvSource({"64,true", "65,false"})
    void aLongLineWithoutAColonIsInvalid(int length, boolean valid) {
        assertThat(feed(splitter(), "x".repeat(length), 7)).isEqualTo(valid);
        assertThat(feed(splitter(), "data: " + "x".repeat(length), 7)).isTrue();
        assertThat(feed(splitter(), "data: \u0000", 7)).isFalse();
    }
}
