package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.writer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import maplerail.Router.Arrival;
import maplerail.Router.Cancel;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.Send;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;

/** Where requests go on when their engine fails or says nothing, at a node that sends each engine little. */
class FailoverTest {
    private static final double AIM_MS = 1_000;
    private static final double DEADLINE_MS = 5_000;

    /** A node among a hundred, which gets a request a second; its readers answer within 60 ms. */
    private static Node oneOfMany() {
        Node node = new Node();
        node.routers = 100;
        node.copies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), writer(12));
        serve(node, 1, 10, 60);
        return node;
    }

    private static void serve(Node node, long firstId, int count, double readMs) {
        for (long id = firstId; id < firstId + count; id++, node.now += 1_000) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            if (node.sent() == null) continue;
            node.end(id, 0, Outcome.READ, readMs, 0, false);
            node.first(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
    }

    private static List<Send> sendsOf(Node node, long id) {
        return node.sends().stream().filter(send -> send.id() == id).toList();
    }

    /**
     * Found on large days with readers that hang: the ration of retries was spent on the first of their requests, and
     * the others stayed there until their deadline, though other readers answered at once.
     */
    @Test
    void eachRequestLeavesASilentEngineWhileTheOthersAnswer() {
        Node node = oneOfMany();
        for (long id = 101; id <= 106; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            long silent = node.sent().engine();
            node.until(node.now + AIM_MS / 2);
            assertTrue(node.all.contains(new Cancel(id, 0)), "request " + id + " is called off at reader " + silent);
            node.end(id, 0, Outcome.CANCELLED);
            assertEquals(2, sendsOf(node, id).size(), "attempts of request " + id);
            assertNotEquals(silent, sendsOf(node, id).get(1).engine());
            node.end(id, 1, Outcome.READ, 60, 0, false);
            node.first(id, 2);
            node.end(id, 2, Outcome.SERVED);
        }
    }

    /** Found on the large join day: an attempt that was overdue while its role was behind was never looked at again. */
    @Test
    void aRequestLeavesASilentEngineOnceTheOthersHaveCaughtUp() {
        Node node = oneOfMany();
        serve(node, 51, 5, 700);
        node.arrive(101, 101, 0, 1_000, 60_000);
        long silent = node.sent().engine();
        node.until(node.now + 1_900);
        assertFalse(node.all.contains(new Cancel(101, 0)), "the readers are behind: a copy would add to it");
        for (long id = 102; id <= 116; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            if (node.sent() == null || node.sent().engine() == silent) continue;
            node.end(id, 0, Outcome.READ, 60, 0, false);
        }
        node.until(node.now + AIM_MS);
        assertTrue(node.all.contains(new Cancel(101, 0)), "called off at reader " + silent);
        node.end(101, 0, Outcome.CANCELLED);
        assertNotEquals(silent, sendsOf(node, 101).get(1).engine());
    }

    /**
     * Found on the large zone day: a request went back and forth between the two homes of its beginning, both out of
     * reach, until its attempts were spent, though other readers were well.
     */
    @Test
    void aRequestDoesNotReturnToAnEngineThatFailedItWhileOthersAreLeft() {
        Node node = new Node();
        node.routers = 100;
        node.copies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), reader(5), reader(6), writer(11));
        for (long id = 1; id <= 20; id++, node.now += 1_000) {
            node.on(new Arrival(id, 0, 0, id, 1_000, 77, 900, DEADLINE_MS, 200, 0, false));
            for (int attempt = 0; attempt < 5 && node.sent() != null; attempt++) {
                node.end(id, attempt, Outcome.UNREACHABLE, 250, 0, false);
            }
            List<Long> tried = sendsOf(node, id).stream().map(Send::engine).toList();
            assertEquals(tried.size(), Set.copyOf(tried).size(), "readers tried by request " + id + ": " + tried);
        }
    }

    /** Found on the same day: cut off from a zone, a node tried six of its engines in turn for one request. */
    @Test
    void aRequestGoesToAnotherZoneAfterAnEngineThatIsOutOfReach() {
        Node node = new Node();
        node.routers = 100;
        node.copies = false;
        List<Member> members = new ArrayList<>(List.of(writer(21)));
        for (long id = 1; id <= 12; id++) members.add(new Member(id, State.READY, 0, (int) (id % 2), 0, 1, 0));
        node.start(members.toArray(Member[]::new));
        for (long id = 1; id <= 20; id++, node.now += 1_000) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            boolean far = node.sent().engine() % 2 == 1;
            if (far) node.end(id, 0, Outcome.UNREACHABLE, 250, 0, false);
            assertEquals(0, node.sent().engine() % 2, "zone of the reader that request " + id + " was sent to");
            int attempts = far ? 2 : 1;
            node.end(id, attempts - 1, Outcome.READ, 60, 0, false);
            node.first(id, attempts);
            node.end(id, attempts, Outcome.SERVED);
        }
    }
}
