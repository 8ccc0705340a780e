package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.writer;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

/** Slow start where the clock from which an engine's start is told and this node's clock differ. */
class EngineClockTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double START_MS = 100 * HOUR_MS;
    private static final double WARM_MS = 10_000; // as Node's settings tell
    private static final double EVERY_MS = 20;
    private static final int ARRIVALS = 60; // in 1.2 s, after which a cold engine is still nearly as cold
    private static final int READERS = 4; // beside the one that may be cold
    private static final long NEWCOMER = 9;
    private static final double BETWEEN = 0.75; // a cold engine's part of an even share and a warm one's

    private final Node node = node();
    private long last;

    private static Node node() {
        Node made = new Node();
        made.now = START_MS;
        return made;
    }

    private static Member newcomer(double startedMs) {
        return new Member(NEWCOMER, State.READY, startedMs, 0, 0, 1, 0);
    }

    private void startWithout() {
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11));
        serve(ARRIVALS);
    }

    private void startWith(Member member) {
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), member);
    }

    private void serve(int requests) {
        for (int i = 0; i < requests; i++) {
            node.now += EVERY_MS;
            node.arrive(++last, last, 0, 500, 5_000);
            node.serve(last);
        }
    }

    /** Of the reads of the next arrivals, the newcomer's in units of an even share. */
    private double nextShare(int arrivals) {
        long before = reads();
        serve(arrivals);
        return (reads() - before) * (READERS + 1.0) / arrivals;
    }

    private void assertCold() {
        assertThat(nextShare(ARRIVALS)).isLessThan(BETWEEN);
    }

    private void assertWarm() {
        assertThat(nextShare(10 * ARRIVALS)).isGreaterThan(BETWEEN);
    }

    private long reads() {
        return node.sends().stream().filter(send -> send.engine() == NEWCOMER).count();
    }

    private void passWarmUp() {
        serve((int) (1.1 * WARM_MS / EVERY_MS));
    }

    @Test
    void anEngineToldAsStartedIsColdThoughOurClockIsAnHourAhead() {
        startWithout();
        node.list(ListKind.CHANGES, newcomer(node.now - HOUR_MS));
        assertCold();
    }

    @Test
    void anEngineToldAsStartedIsColdThoughOurClockIsSomeSecondsAhead() {
        startWithout();
        node.list(ListKind.CHANGES, newcomer(node.now - 12_000));
        assertCold();
    }

    @Test
    void anEngineThatCameBackAfterItsClockWasSetBackIsColdAgain() {
        startWith(newcomer(START_MS - 2 * WARM_MS));
        serve(ARRIVALS);
        node.list(ListKind.CHANGES, newcomer(START_MS - HOUR_MS));
        assertCold();
    }

    @Test
    void anEngineOfTheFirstListIsWarmInTimeThoughOurClockIsAnHourBehind() {
        startWith(newcomer(START_MS + HOUR_MS));
        assertCold();
        passWarmUp();
        assertWarm();
    }

    @Test
    void anEngineToldAsStartedIsWarmInTimeThoughOurClockIsAnHourBehind() {
        startWithout();
        node.list(ListKind.CHANGES, newcomer(node.now + HOUR_MS));
        passWarmUp();
        assertWarm();
    }

    @Test
    void theNewestEngineOfTheFirstListIsColdThoughOurClockIsAnHourAhead() {
        startWith(newcomer(START_MS - HOUR_MS));
        assertCold();
    }

    @Test
    void anEngineThatIsToldAgainWithTheSameStartIsNotColdAgain() {
        startWithout();
        double startedMs = node.now - 500;
        node.list(ListKind.CHANGES, newcomer(startedMs));
        passWarmUp();
        node.list(ListKind.WHOLE, reader(1), reader(2), reader(3), reader(4), writer(11), newcomer(startedMs));
        assertWarm();
    }
}
