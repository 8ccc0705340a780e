package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.smallFleet;
import static maplerail.Node.writer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import maplerail.Router.Arrival;
import maplerail.Router.Cancel;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.Refuse;
import maplerail.Router.Release;
import maplerail.Router.Send;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Where requests are sent after their engine failed or stayed silent, at a node that sends few requests to each engine. */
class FailoverTest {
    private static final double GOAL_MS = 1_000;
    private static final double DEADLINE_MS = 5_000;

    /** One of 100 nodes, which gets one request per second; its readers answer within 60 ms. */
    private static Node nodeOfLargeFleet() {
        Node node = new Node();
        node.nodeCount = 100;
        node.secondCopies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), writer(12));
        serve(node, 1, 10, 60);
        return node;
    }

    private static void serve(Node node, long firstId, int count, double readMs) {
        for (long id = firstId; id < firstId + count; id++, node.nowMs += 1_000) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            if (node.lastSend() == null) continue;
            node.end(id, 0, Outcome.READ, readMs, 0, false);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
    }

    private static List<Send> sendsOf(Node node, long id) {
        return node.sends().stream().filter(send -> send.id() == id).toList();
    }

    /**
     * Guards against a request that stays too long at a hanging reader: with no retry left, it was checked again only
     * after three times the age of the oldest attempt at its reader, which was its own.
     */
    @Test
    void aRequestLeavesASilentEngineSoonAfterARetryIsAvailable() {
        Node node = nodeOfLargeFleet();
        for (long id = 101; id <= 102; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            node.advanceTo(node.nowMs + GOAL_MS / 2);
            if (node.actions.contains(new Cancel(id, 0))) node.end(id, 0, Outcome.CANCELLED);
        }
        assertTrue(node.actions.contains(new Cancel(101, 0)), "the first takes the last retry");
        assertFalse(node.actions.contains(new Cancel(102, 0)), "no retry is left");
        long silent = sendsOf(node, 102).get(0).engine();
        for (long id = 104; id <= 113; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            if (node.lastSend() != null && node.lastSend().engine() != silent) serveRead(node, id);
        }
        node.advanceTo(node.nowMs + GOAL_MS / 2);
        assertTrue(node.actions.contains(new Cancel(102, 0)), "cancelled at reader " + silent);
    }

    private static void serveRead(Node node, long id) {
        node.end(id, 0, Outcome.READ, 60, 0, false);
        node.firstToken(id, 1);
        node.end(id, 1, Outcome.SERVED);
    }

    /** Guards against an attempt that is never checked again because it was overdue while its role was behind. */
    @Test
    void aRequestLeavesASilentEngineWhenItsRoleIsNoLongerBehind() {
        Node node = nodeOfLargeFleet();
        serve(node, 51, 5, 700);
        node.arrive(101, 101, 0, 1_000, 60_000);
        long silent = node.lastSend().engine();
        node.advanceTo(node.nowMs + 1_900);
        assertFalse(node.actions.contains(new Cancel(101, 0)),
                "the readers are behind: a copy would add to their load");
        for (long id = 102; id <= 116; id++) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            if (node.lastSend() == null || node.lastSend().engine() == silent) continue;
            node.end(id, 0, Outcome.READ, 60, 0, false);
        }
        node.advanceTo(node.nowMs + GOAL_MS);
        assertTrue(node.actions.contains(new Cancel(101, 0)), "cancelled at reader " + silent);
        node.end(101, 0, Outcome.CANCELLED);
        assertNotEquals(silent, sendsOf(node, 101).get(1).engine());
    }

    /**
     * Guards against a request that alternates between the two owners of its prefix, both unreachable, until its attempts
     * are spent, though other readers are healthy.
     */
    @Test
    void aRequestDoesNotReturnToAnEngineThatFailedItWhileOthersAreLeft() {
        Node node = new Node();
        node.nodeCount = 100;
        node.secondCopies = false;
        node.start(reader(1), reader(2), reader(3), reader(4), reader(5), reader(6), writer(11));
        for (long id = 1; id <= 20; id++, node.nowMs += 1_000) {
            node.report(new Arrival(id, 0, 0, id, 1_000, 77, 900, DEADLINE_MS, 200, 0, false));
            for (int attempt = 0; attempt < 5 && node.lastSend() != null; attempt++) {
                node.end(id, attempt, Outcome.UNREACHABLE, 250, 0, false);
            }
            List<Long> tried = sendsOf(node, id).stream().map(Send::engine).toList();
            assertEquals(tried.size(), Set.copyOf(tried).size(), "readers tried by request " + id + ": " + tried);
        }
    }

    /** Guards against a node that is cut off from a zone and tries six of its engines in turn for one request. */
    @Test
    void aRequestGoesToAnotherZoneAfterAnUnreachableEngine() {
        Node node = new Node();
        node.nodeCount = 100;
        node.secondCopies = false;
        List<Member> members = new ArrayList<>(List.of(writer(21)));
        for (long id = 1; id <= 12; id++) members.add(new Member(id, State.READY, 0, (int) (id % 2), 0, 1, 0));
        node.start(members.toArray(Member[]::new));
        for (long id = 1; id <= 20; id++, node.nowMs += 1_000) {
            node.arrive(id, id, 0, 1_000, DEADLINE_MS);
            boolean unreachable = node.lastSend().engine() % 2 == 1;
            if (unreachable) node.end(id, 0, Outcome.UNREACHABLE, 250, 0, false);
            assertEquals(0, node.lastSend().engine() % 2, "zone of the reader that request " + id + " was sent to");
            int attempts = unreachable ? 2 : 1;
            node.end(id, attempts - 1, Outcome.READ, 60, 0, false);
            node.firstToken(id, attempts);
            node.end(id, attempts, Outcome.SERVED);
        }
    }

    @Test
    void aFailingReaderIsEjectedAndTriedAgainWithFewReads() {
        Node node = smallFleet();
        long failing = -1;
        int sendsToFailing = 0;
        for (int id = 1; id <= 60; id++) {
            node.arrive(id, id, 0, 1_000, 60_000);
            int attempt = 0;
            failing = failing < 0 ? node.lastSend().engine() : failing;
            while (node.lastSend().engine() == failing) {
                sendsToFailing++;
                node.end(id, attempt++, Outcome.ERROR);
            }
            node.end(id, attempt, Outcome.READ);
            node.firstToken(id, attempt + 1);
            node.end(id, attempt + 1, Outcome.SERVED);
            node.nowMs += 50;
        }
        assertTrue(sendsToFailing >= 2 && sendsToFailing <= 8, "sends to the failing reader: " + sendsToFailing);
    }

    /** A single read behind those of other nodes takes long, and a node with few requests has no other sample. */
    @Test
    void oneSlowReadEjectsNoEngine() {
        Node node = smallFleet();
        long waiting = 0;
        for (long id = 1; id <= 12; id++) {
            node.arrive(id);
            if (waiting == 0 && node.lastSend().engine() == 1) waiting = id;
            else node.serve(id);
        }
        assertTrue(waiting > 0, "a read is out at reader 1");
        node.nowMs += 900;
        node.end(waiting, 0, Outcome.READ, 900, 0, false);
        assertEquals(List.of(), node.actionsOf(Router.Log.class));
    }

    @Test
    void aSlowdownOfAllEnginesEjectsNone() {
        Node node = smallFleet();
        for (int id = 1; id <= 100; id++) {
            node.arrive(id, id, 0, 1_000, 60_000);
            double elapsedMs = id < 50 ? 50 : 900;
            node.end(id, 0, Outcome.READ, elapsedMs, 0, false);
            node.report(new Router.FirstToken(id, 1, 0, elapsedMs));
            node.end(id, 1, Outcome.SERVED);
            node.nowMs += 200;
        }
        assertTrue(node.actionsOf(Router.Log.class).stream().noneMatch(l -> l.text().startsWith("ejected")));
    }

    @Test
    void aQueueAtAWriterIsNotTakenForSilence() {
        Node node = new Node().start(reader(1), reader(2), writer(11), writer(12), writer(13), writer(14));
        for (int id = 1; id <= 40; id++) {
            node.arrive(id, id, 0, 1_000, 60_000);
            node.end(id, 0, Outcome.READ);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
            node.nowMs += 50;
        }
        for (int id = 41; id <= 56; id++) {
            node.arrive(id, id, 0, 1_000, 60_000);
            node.end(id, 0, Outcome.READ);
        }
        for (Send send : List.copyOf(node.sends())) {
            if (send.id() > 40 && send.engine() > 11) {
                node.firstToken(send.id(), 1);
                node.end(send.id(), 1, Outcome.SERVED);
            }
        }
        node.advanceTo(node.nowMs + 600);
        assertTrue(node.actionsOf(Router.Log.class).isEmpty(), "silent for less than the goal");
    }

    /** Guards against a lost answer that never becomes overdue because its engine answers other attempts. */
    @Test
    void aReadWithALostAnswerIsSentElsewhereThoughItsReaderAnswersOthers() {
        Node node = smallFleet();
        for (int id = 1; id <= 20; id++, node.nowMs += 100) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.serve(id);
        }
        node.arrive(21, 21, 0, 1_000, 5_000);
        long lost = node.lastSend().engine();
        node.nowMs += 50;
        for (int id = 22; id <= 40; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.serve(id);
        }
        // The reader answered later reads, so this one is not waited for a second time.
        node.advanceTo(node.nowMs + 450);
        List<Send> sends = node.sends().stream().filter(s -> s.id() == 21).toList();
        assertEquals(2, sends.size());
        assertNotEquals(lost, sends.get(1).engine());
        // Its age does not count as a queue either: the next request for that reader is not refused.
        node.nowMs += 3_000;
        node.arrive(41, 21, 0, 1_000, 5_000);
        assertTrue(node.sends().stream().anyMatch(s -> s.id() == 41));
    }

    /** In a large fleet a node uses each writer about once a minute, so only all writers together reveal an overload. */
    @Test
    void anOverloadOfAllWritersIsDetectedThoughEachIsUsedOnce() {
        Node node = new Node();
        node.nodeCount = 100;
        node.start(java.util.stream.LongStream.rangeClosed(1, 60).mapToObj(i -> i <= 20 ? reader(i) : writer(i))
                .toArray(Member[]::new));
        for (int id = 1; id <= 12; id++, node.nowMs += 1_000) {
            node.arrive(id, id, 0, 1_000, 60_000);
            if (node.lastSend() == null) continue;
            node.end(id, 0, Outcome.READ, 60, 0, false);
            node.report(new Router.FirstToken(id, 1, 0, 2_000));
            node.end(id, 1, Outcome.SERVED);
        }
        assertTrue(node.actionsOf(Refuse.class).size() >= 5, "refused: " + node.actionsOf(Refuse.class).size());
    }

    /** Guards against a healthy reader that counts as silent because a prefix assumed to be cached was not. */
    @Test
    void aPrefixThatWasWronglyAssumedCachedDoesNotMakeItsReadOverdue() {
        Node node = new Node();
        node.nodeCount = 100;
        node.start(reader(1), reader(2), reader(3), writer(11), writer(12));
        for (int id = 1; id <= 13; id++, node.nowMs += 1_000) {
            double tokens = id == 13 ? 6_000 : 1_000;
            node.report(new Arrival(id, 0, 0, id, tokens, 77, tokens - 300, 5_000, 200, 0, false));
            if (id == 13) break;
            node.end(id, 0, Outcome.READ, 75, 0, false);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
        node.advanceTo(node.nowMs + 480);
        assertEquals(1, node.sends().stream().filter(s -> s.id() == 13).count());
    }

    /** Guards against prompts that miss the reader with their session's history; half of them did under low load. */
    @Test
    void allNodesSendASessionWithHistoryToOneOwner() {
        Set<Long> owners = new java.util.TreeSet<>();
        for (int seed = 1; seed <= 40; seed++) {
            Node node = new Node();
            node.seed = seed;
            node.nodeCount = 40;
            node.start(java.util.stream.LongStream.rangeClosed(1, 10).mapToObj(i -> i < 10 ? reader(i) : writer(i))
                    .toArray(Member[]::new));
            for (int id = 1; id <= 20; id++, node.nowMs += id < 20 ? 1_000 : 50) {
                long session = id == 20 ? 5 : 1_000L * seed + id;
                node.report(
                        new Arrival(id, 0, 0, session, 5_000, 1 + id % (1 + seed % 4), 1_000, 5_000, 200, 0, false));
                if (id == 20) owners.add(node.lastSend().engine());
                if (id != 19) node.serve(id);
            }
        }
        assertEquals(1, owners.size(), "though every node has reads in flight elsewhere: " + owners);
    }

    /** Guards against copies of reads that add to an overload of all readers while the writers are idle. */
    @Test
    void anOverloadOfAllReadersCausesRefusalsAndNoCopies() {
        Node node = new Node();
        node.nodeCount = 100;
        node.start(java.util.stream.LongStream.rangeClosed(1, 60).mapToObj(i -> i <= 40 ? reader(i) : writer(i))
                .toArray(Member[]::new));
        for (int id = 1; id <= 30; id++, node.nowMs += 1_000) {
            node.arrive(id, id, 0, 1_000, 60_000);
            if (node.lastSend() == null) continue;
            node.end(id, 0, Outcome.READ, id < 10 ? 60 : 2_000, 0, false);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
        assertTrue(node.actionsOf(Refuse.class).size() >= 5, "refused: " + node.actionsOf(Refuse.class).size());
        int before = node.sends().size();
        node.arrive(31, 31, 0, 1_000, 60_000);
        node.advanceTo(node.nowMs + 3_000);
        assertTrue(node.sends().size() <= before + 1, "no copies while all readers are behind");
    }

    /**
     * An attempt that was not answered may never have arrived: the lease of its state still counts from the end of the
     * read, also while a further attempt is in flight.
     */
    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"UNREACHABLE", "NOT_SENT", "CANCELLED", "TIMEOUT", "RESET"})
    void aStateThatNoWriterFetchesIsReleasedInTimeAndReadAgain(Outcome unanswered) {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), reader(2), writer(11), writer(12), writer(13), writer(14));
        node.arrive(1, 7, 0, 1_000, 5_000);
        long reader = node.lastSend().engine();
        node.end(1, 0, Outcome.READ);
        double heldSinceMs = node.nowMs;
        int attempt = 1;
        for (double next = heldSinceMs + 250; !isReleased(node); node.advanceTo(node.nowMs + 1)) {
            assertTrue(node.nowMs <= heldSinceMs + 300, "the limit");
            if (node.nowMs < next) continue;
            node.end(1, attempt++, unanswered);
            assertTrue(node.lastSend().engine() > 10, "another writer is tried");
            next = node.nowMs + 250;
        }
        node.end(1, attempt, unanswered);
        assertEquals(reader, node.lastSend().engine(), "read where the prompt's tokens are cached");
        assertEquals(0, node.finalAnswers(1));
    }

    private static boolean isReleased(Node node) {
        return !node.actionsOf(Release.class).isEmpty() || !node.actionsOf(Router.Reclaim.class).isEmpty();
    }

    /** The write is silent though its connection was established, and its writer may have stopped. */
    @ParameterizedTest
    @EnumSource(Router.Repeat.class)
    void aStateIsReclaimedInTimeWhileItsWriteIsSilent(Router.Repeat repeat) {
        Node node = new Node();
        node.repeat = repeat;
        node.secondCopies = false;
        node.start(reader(1), writer(11));
        for (long id = 1; id <= 8; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.end(id, 0, Outcome.READ);
            node.report(new Router.FirstToken(id, 1, 0, 250));
            node.end(id, 1, Outcome.SERVED);
        }
        node.arrive(9, 9, 0, 1_000, 5_000);
        node.end(9, 0, Outcome.READ);
        node.advanceTo(node.nowMs + 300);
        assertTrue(node.actions.contains(new Router.Reclaim(9)));
        assertEquals(0, node.finalAnswers(9), "still open: the write may yet be served");
        node.end(9, 1, Outcome.STATE_GONE);
        assertTrue(node.lastSend().engine() < 10, "read again");
    }

    /** A release skips states that an attempt waits for. A writer that answers others is running, so its write waits. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReclaimedStateGoesToAnotherWriterIfTheFirstOneRan(boolean ran) {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), writer(11), writer(12));
        node.arrive(1, 1, 0, 1_000, 5_000);
        node.end(1, 0, Outcome.READ);
        long writer = node.lastSend().engine();
        for (long id = 2; id <= 20; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.end(id, 0, Outcome.READ);
            if (node.lastSend().engine() != writer) continue;
            node.advanceTo(node.nowMs + 300);
            if (ran) node.firstToken(id, 1);
            break;
        }
        assertTrue(node.actions.contains(new Router.Reclaim(1)));
        node.end(1, 1, Outcome.CANCELLED);
        assertEquals(ran, node.lastSend().engine() > 10, "the state is still held");
        assertEquals(!ran, node.lastActions.contains(new Release(1)));
    }

    @Test
    void aWriterThatFoundNoStateIsPreferredToASilentOne() {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), reader(2), writer(11), writer(12));
        node.arrive(1, 7, 0, 1_000, 5_000);
        node.end(1, 0, Outcome.READ);
        long silent = node.lastSend().engine();
        node.end(1, 1, Outcome.CANCELLED);
        long healthy = node.lastSend().engine();
        assertNotEquals(silent, healthy);
        node.end(1, 2, Outcome.STATE_GONE);
        node.end(1, 3, Outcome.READ);
        assertEquals(healthy, node.lastSend().engine());
    }

    /**
     * A writer finds no state either if the reader is cut off from it. Guards against a request that is read at such a
     * reader again and again.
     */
    @Test
    void aMissingStateIsReadAgainAtAnotherReader() {
        Node node = smallFleet();
        node.arrive(1, 7, 0, 1_000, 5_000);
        long first = node.lastSend().engine();
        node.end(1, 0, Outcome.READ);
        node.end(1, 1, Outcome.STATE_GONE);
        assertTrue(node.lastSend().engine() < 10, "a reader");
        assertNotEquals(first, node.lastSend().engine());
    }

    @Test
    void aMissingStateIsReadAgain() {
        Node node = smallFleet();
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        node.end(1, 1, Outcome.STATE_GONE);
        assertTrue(node.lastSend().engine() < 10);
    }

    @Test
    void overloadCausesRefusals() {
        Node node = smallFleet();
        long id = 1;
        for (; id <= 40; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.end(id, 0, Outcome.READ, 900, 0, false);
            node.report(new Router.FirstToken(id, 1, 0, 2_000));
            node.end(id, 1, Outcome.SERVED);
            node.nowMs += 20;
        }
        assertTrue(node.actionsOf(Refuse.class).size() > 5);
    }

    /** Guards against the waits of an overload that keep admission closed for most of a minute after its end. */
    @Test
    void admissionOpensAgainWhenAnOverloadIsNoLongerObserved() {
        Node node = smallFleet();
        for (long id = 1; id <= 12; id++, node.nowMs += 100) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.end(id, 0, Outcome.READ, 10, 0, false);
            node.report(new Router.FirstToken(id, 1, 0, 2_000));
            node.end(id, 1, Outcome.SERVED);
        }
        node.arrive(13, 13, 0, 1_000, 5_000);
        assertNull(node.lastSend(), "overloaded");
        node.nowMs += 12_000;
        node.arrive(14, 14, 0, 1_000, 5_000);
        assertNotNull(node.lastSend(), "no wait has been observed for long");
    }

    @Test
    void aLongPromptWithoutAQueueIsNotOverload() {
        Node node = smallFleet();
        for (int id = 1; id <= 30; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.end(id, 0, Outcome.READ, 60, 0, false);
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
            node.nowMs += 100;
        }
        node.arrive(31, 0, 0, 25_000, 5_000);
        assertNotNull(node.lastSend(), "its own read alone takes most of its goal");
    }

    @Test
    void workOverItsTenantsShareIsRefusedFirst() {
        Node node = new Node();
        node.tenants = List.of(new Router.Tenant(1), new Router.Tenant(100));
        node.overSharePriorityFactor = 0.1;
        node.start(reader(1), reader(2), writer(11), writer(12));
        for (int id = 1; id <= 30; id++) {
            node.report(new Arrival(id, 1, id % 2, 0, 1_000, 0, 0, 12_000, 200, 0, false));
            if (node.lastSend() == null) {
                assertEquals(0, id % 2, "only the tenant over its share is refused");
                continue;
            }
            node.end(id, 0, Outcome.READ, 60, 0, false);
            node.report(new Router.FirstToken(id, 1, 0, 1_000));
            node.end(id, 1, Outcome.SERVED);
            node.nowMs += 20;
        }
        assertTrue(node.actionsOf(Refuse.class).size() >= 5);
    }

    @Test
    void aRefusalCarriesRetryAfterOnlyWhereAllowed() {
        for (boolean allowed : new boolean[] {true, false}) {
            Node node = new Node();
            node.retryAfter = allowed;
            node.start(reader(1));
            node.arrive(1, 0, 0, 1_000, 0);
            assertEquals(List.of(new Refuse(1, allowed ? 1_000 : 0, Router.EndReason.DEADLINE)),
                    node.actionsOf(Refuse.class));
        }
    }
}
