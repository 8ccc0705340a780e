package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a deadline that starts to run later than the client sent the request. */
class ArrivalLogTest {
    private final ArrivalLog log = new ArrivalLog();

    @Test
    void requestReadInPiecesStartsAtItsFirstByte() {
        log.onRead(100, 10);
        log.onRead(50, 30);
        log.onRead(50, 60);
        assertThat(log.notBeforeMs()).isEqualTo(10);
        log.requestEnded(0);
        log.onRead(20, 500);
        assertThat(log.notBeforeMs()).isEqualTo(500);
    }

    @Test
    void pipelinedRequestStartsAtItsOwnFirstByte() {
        log.onRead(100, 10);
        log.onRead(100, 30);
        log.onRead(100, 60);
        log.requestEnded(150);
        assertThat(log.notBeforeMs()).as("its first byte is the 150th").isEqualTo(30);
        log.requestEnded(100);
        assertThat(log.notBeforeMs()).isEqualTo(60);
        log.requestEnded(0);
        log.onRead(1, 70);
        assertThat(log.notBeforeMs()).isEqualTo(70);
    }

    @Test
    void startIsInfiniteBeforeAnyByteIsRead() {
        assertThat(log.notBeforeMs()).isInfinite();
        log.requestEnded(0);
        assertThat(log.notBeforeMs()).isInfinite();
    }

    /** Guards against memory that grows with each message of a long session. */
    @Test
    void stoppedLogRecordsNothing() {
        log.onRead(10, 1);
        log.stop();
        for (int i = 0; i < 100; i++) log.onRead(10, 20 * i);
        assertThat(log.size()).isZero();
    }

    @Test
    void chunksOfEndedRequestsAreDropped() {
        for (int i = 0; i < 100; i++) {
            log.onRead(10, 20 * i);
            log.requestEnded(5);
            assertThat(log.size()).isLessThanOrEqualTo(2);
        }
    }
}
