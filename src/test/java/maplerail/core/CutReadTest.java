package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router;
import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a read that was cut off may leave at its reader is let go again and again. */
class CutReadTest extends ScriptedBroker {
    /** A read that was cut off may have ended just then, or end later all the same: its state would stay pinned. */
    @Test
    void aReadThatWasCutOffIsLetGoAgainAndAgain() {
        take("a", send(READER));
        act(new Cancel(1, 0));
        assertThat(outcomes()).containsExactly(Outcome.CANCELLED);
        assertThat(released).containsExactly("1/a");
        loop.until(1_399);
        assertThat(released).as("the engine may see the release before the end").containsExactly("1/a", "1/a");
        loop.until(60_000);
        double toldUntilMs = 1_000 + 5_000;
        double lastReadMs = toldUntilMs + 1_600;
        assertThat(releasedAtMs).as("a read that waits there may begin until it has been told").hasSizeBetween(7, 25)
                .allMatch(atMs -> atMs <= lastReadMs + 500).anyMatch(atMs -> atMs > lastReadMs);
        assertThat(released).containsOnly("1/a");
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 250, 500, 1_500})
    void aReadThatEndsLongAfterItWasCutOffIsLetGoWithinThePinLimit(double pinLimitMs) {
        start(pinLimitMs);
        take("a", send(READER));
        act(new Cancel(1, 0));
        loop.until(60_000);
        for (int i = 1; i < releasedAtMs.size(); i++) {
            assertThat(releasedAtMs.get(i) - releasedAtMs.get(i - 1)).isLessThanOrEqualTo(Math.max(120, pinLimitMs));
        }
        assertThat(releasedAtMs.get(releasedAtMs.size() - 1)).isGreaterThan(2_000 - pinLimitMs);
    }

    /** The first reader reads on though it was cut off; the request goes on elsewhere and ends before that read does. */
    @Test
    void aReadThatWasCutOffIsLetGoAgainThoughItsRequestEndedLater() {
        take("a", send(READER));
        next.add(send(OTHER_READER));
        act(new Cancel(1, 0));
        loop.until(1_600);
        act(new Router.Fail(1), new Cancel(1, 1));
        released.clear();
        loop.until(60_000);
        assertThat(released.stream().filter("1/a"::equals).count()).as("600 ms after the cut")
                .isGreaterThanOrEqualTo(2);
    }

    /** What is held goes with the first token, but the first reader may end its read after that. */
    @Test
    void aReadThatWasCutOffIsLetGoAlsoWhenItsRequestIsServed() {
        take("a", send(READER));
        next.add(send(OTHER_READER));
        act(new Cancel(1, 0));
        next.add(send(WRITER));
        out.get(1).answer.ended(Outcome.READ, 0);
        out.get(2).answer.event(new byte[1]);
        loop.until(1_200);
        assertThat(released).isEmpty();
        out.get(2).answer.ended(Outcome.SERVED, 0);
        assertThat(released).containsExactly("1/a");
        loop.until(2_600);
        assertThat(released).hasSizeGreaterThan(3).containsOnly("1/a");
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void aLeftoverIsNotLetGoWhileItsReaderIsInUse() {
        take("a", send(READER));
        act(new Cancel(1, 0), send(READER));
        loop.until(1_400);
        assertThat(released).isEmpty();
    }
}
