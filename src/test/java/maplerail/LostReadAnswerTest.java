package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.writer;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router.Cancel;
import maplerail.Router.Outcome;
import maplerail.Router.Send;
import org.junit.jupiter.api.Test;

/**
 * When an unanswered read is cancelled because its answer may be lost. Its state is held from the end of the read, for at
 * most 300 ms by the settings of these nodes.
 */
class LostReadAnswerTest {
    private static final double PIN_LIMIT_MS = 300;
    private static final double DEADLINE_MS = 5_000;
    private static final double READ_MS = 60;
    private static final int WARM_UP_REQUESTS = 40;

    /** A node that gets an answer from each reader about every 200 ms, and has no retry left. */
    private static Node warmNode() {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), writer(12));
        for (long id = 1; id <= WARM_UP_REQUESTS; id++, node.nowMs += 50) serve(node, id, READ_MS);
        return node;
    }

    private static void serve(Node node, long id, double readMs) {
        node.arrive(id, id, 0, 1_000, DEADLINE_MS);
        node.end(id, 0, Outcome.READ, readMs, 0, false);
        node.firstToken(id, 1);
        node.end(id, 1, Outcome.SERVED);
    }

    @Test
    void anUnansweredReadAtAWellObservedReaderIsCancelledWithinThePinLimit() {
        Node node = warmNode();
        node.arrive(100, 100, 0, 1_000, DEADLINE_MS);
        node.advanceTo(node.nowMs + PIN_LIMIT_MS - 1);
        assertThat(node.actions).doesNotContain(new Cancel(100, 0));
        node.advanceTo(node.nowMs + 2);
        assertThat(node.actions).contains(new Cancel(100, 0));
        node.end(100, 0, Outcome.CANCELLED);
        List<Send> sends = node.sends().stream().filter(send -> send.id() == 100).toList();
        assertThat(sends).hasSize(2);
        assertThat(sends.get(1).engine()).isNotEqualTo(sends.get(0).engine());
    }

    /** The reader started this read only when it had answered the earlier one. */
    @Test
    void theTimeCountsFromTheLastAnswerOfTheReader() {
        Node node = warmNode();
        node.arrive(100, 7, 0, 1_000, DEADLINE_MS);
        long reader = node.lastSend().engine();
        node.arrive(101, 7, 0, 1_000, DEADLINE_MS);
        assertThat(node.lastSend().engine()).as("the session's reader").isEqualTo(reader);
        node.nowMs += PIN_LIMIT_MS / 2;
        node.end(100, 0, Outcome.READ, PIN_LIMIT_MS / 2, 0, false);
        node.advanceTo(node.nowMs + PIN_LIMIT_MS - 1);
        assertThat(node.actions).doesNotContain(new Cancel(101, 0));
        node.advanceTo(node.nowMs + 2);
        assertThat(node.actions).contains(new Cancel(101, 0));
    }

    /**
     * An overload looks the same as lost answers. Guards against cancelled reads that are sent again and add to the
     * overload.
     */
    @Test
    void cancellationsAreLimitedByTheRetryBudgetAndItsOverdraft() {
        Node node = warmNode();
        for (long id = 100; id < 200; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            node.advanceTo(node.nowMs + 2);
        }
        node.advanceTo(node.nowMs + 2 * PIN_LIMIT_MS);
        long cancelled = node.actionsOf(Cancel.class).stream().filter(cancel -> !wasGivenUp(node, cancel)).count();
        assertThat(cancelled).isBetween(1L, 10 + 5 + 20L);
    }

    /** Whether the request of a cancelled attempt got a final answer, which cancels its attempts as well. */
    private static boolean wasGivenUp(Node node, Cancel cancel) {
        return node.finalAnswers(cancel.id()) > 0;
    }

    @Test
    void noReadIsCancelledWhileReadsWaitEverywhere() {
        Node node = warmNode();
        for (long id = 50; id < 60; id++, node.nowMs += 50) serve(node, id, 900);
        node.arrive(100, 100, 0, 1_000, DEADLINE_MS);
        node.advanceTo(node.nowMs + PIN_LIMIT_MS + 50);
        assertThat(node.actions).doesNotContain(new Cancel(100, 0));
    }

    @Test
    void noReadIsCancelledAtReadersWithFewAnswers() {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), writer(12));
        for (long id = 1; id <= 3; id++, node.nowMs += 50) serve(node, id, READ_MS);
        node.arrive(100, 100, 0, 1_000, DEADLINE_MS);
        node.advanceTo(node.nowMs + PIN_LIMIT_MS + 50);
        assertThat(node.actions).doesNotContain(new Cancel(100, 0));
    }

    /**
     * A reader processes prompts in order: once a later read is answered, this one has ended and its answer is lost. Later
     * answers of the reader must not postpone its cancellation.
     */
    @Test
    void anOvertakenReadIsCancelledThoughItsReaderKeepsAnsweringOthers() {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), writer(11), writer(12));
        for (long id = 1; id <= WARM_UP_REQUESTS; id++, node.nowMs += 50) serve(node, id, READ_MS);
        node.report(new Router.Arrival(100, 1, 0, 7, 1_000, 0, 0, 12_000, 200, 0, false));
        double heldSinceMs = node.nowMs + READ_MS;
        for (long id = 101; node.nowMs < heldSinceMs + 2 * PIN_LIMIT_MS; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            node.advanceTo(node.nowMs + READ_MS);
            node.end(id, 0, Outcome.READ, READ_MS, 0, false);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
        assertThat(node.actions).as("within the limit and the 300 ms of the rules on sockets")
                .contains(new Cancel(100, 0));
    }
}
