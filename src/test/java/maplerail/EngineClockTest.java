package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.writer;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

/** Slow start where the clock that stamps an engine's start and this node's clock differ. */
class EngineClockTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double START_MS = 100 * HOUR_MS;
    private static final double WARM_MS = 10_000; // as in Node's settings
    private static final double ARRIVAL_INTERVAL_MS = 20;
    private static final int ARRIVALS = 60; // in 1.2 s, after which a cold engine has hardly warmed up
    private static final int READERS = 4; // besides the one that may be cold
    private static final long NEW_ENGINE = 9;
    private static final double COLD_WARM_THRESHOLD = 0.75; // between the relative shares of a cold and of a warm engine

    private final Node node = node();
    private long lastId;

    private static Node node() {
        Node node = new Node();
        node.nowMs = START_MS;
        return node;
    }

    private static Member newEngine(double startedMs) {
        return new Member(NEW_ENGINE, State.READY, startedMs, 0, 0, 1, 0);
    }

    private void startWithoutNewEngine() {
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11));
        serve(ARRIVALS);
    }

    private void startWithNewEngine(Member member) {
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), member);
    }

    private void serve(int requests) {
        for (int i = 0; i < requests; i++) {
            node.nowMs += ARRIVAL_INTERVAL_MS;
            node.arrive(++lastId, lastId, 0, 500, 5_000);
            node.serve(lastId);
        }
    }

    /** The new engine's part of the reads of the next arrivals, relative to an even share. */
    private double relativeShareOfNext(int arrivals) {
        long before = newEngineReads();
        serve(arrivals);
        return (newEngineReads() - before) * (READERS + 1.0) / arrivals;
    }

    private void assertCold() {
        assertThat(relativeShareOfNext(ARRIVALS)).isLessThan(COLD_WARM_THRESHOLD);
    }

    private void assertWarm() {
        assertThat(relativeShareOfNext(10 * ARRIVALS)).isGreaterThan(COLD_WARM_THRESHOLD);
    }

    private long newEngineReads() {
        return node.sends().stream().filter(send -> send.engine() == NEW_ENGINE).count();
    }

    private void serveThroughWarmUp() {
        serve((int) (1.1 * WARM_MS / ARRIVAL_INTERVAL_MS));
    }

    @Test
    void aReportedStartIsColdThoughThisClockIsAnHourAhead() {
        startWithoutNewEngine();
        node.reportList(ListKind.CHANGES, newEngine(node.nowMs - HOUR_MS));
        assertCold();
    }

    @Test
    void aReportedStartIsColdThoughThisClockIsSecondsAhead() {
        startWithoutNewEngine();
        node.reportList(ListKind.CHANGES, newEngine(node.nowMs - 12_000));
        assertCold();
    }

    @Test
    void aRestartedEngineIsColdThoughItsClockWasSetBack() {
        startWithNewEngine(newEngine(START_MS - 2 * WARM_MS));
        serve(ARRIVALS);
        node.reportList(ListKind.CHANGES, newEngine(START_MS - HOUR_MS));
        assertCold();
    }

    @Test
    void anEngineOfTheFirstListWarmsUpThoughThisClockIsAnHourBehind() {
        startWithNewEngine(newEngine(START_MS + HOUR_MS));
        assertCold();
        serveThroughWarmUp();
        assertWarm();
    }

    @Test
    void aReportedStartWarmsUpThoughThisClockIsAnHourBehind() {
        startWithoutNewEngine();
        node.reportList(ListKind.CHANGES, newEngine(node.nowMs + HOUR_MS));
        serveThroughWarmUp();
        assertWarm();
    }

    @Test
    void theNewestEngineOfTheFirstListIsColdThoughThisClockIsAnHourAhead() {
        startWithNewEngine(newEngine(START_MS - HOUR_MS));
        assertCold();
    }

    @Test
    void anEngineReportedAgainWithTheSameStartIsNotColdAgain() {
        startWithoutNewEngine();
        double startedMs = node.nowMs - 500;
        node.reportList(ListKind.CHANGES, newEngine(startedMs));
        serveThroughWarmUp();
        node.reportList(ListKind.WHOLE, reader(1), reader(2), reader(3), reader(4), writer(11), newEngine(startedMs));
        assertWarm();
    }
}
