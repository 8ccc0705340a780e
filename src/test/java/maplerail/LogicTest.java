package maplerail;

import static maplerail.Node.member;
import static maplerail.Node.reader;
import static maplerail.Node.smallFleet;
import static maplerail.Node.writer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import maplerail.Router.Arrival;
import maplerail.Router.Cancel;
import maplerail.Router.Fail;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.Refuse;
import maplerail.Router.Release;
import maplerail.Router.Repeat;
import maplerail.Router.Scope;
import maplerail.Router.Send;
import maplerail.Router.State;
import maplerail.Router.Subscribe;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LogicTest {

    // ---- The ordinary path ----

    @Test
    void aPromptGoesToAReaderAndThenToAWriter() {
        Node node = smallFleet();
        node.arrive(1);
        assertTrue(node.lastSend().engine() < 10);
        assertEquals(6_000, node.lastSend().deadlineMs());
        node.end(1, 0, Outcome.READ);
        assertTrue(node.lastSend().engine() > 10);
        node.firstToken(1, 1);
        assertTrue(node.end(1, 1, Outcome.SERVED).isEmpty());
        assertEquals(0, node.finalAnswers(1));
    }

    @Test
    void aSessionReturnsToItsReader() {
        Node node = smallFleet();
        for (int session = 1; session <= 6; session++) {
            node.arrive(session, session, 0, 1_000, 5_000);
            long reader = node.lastSend().engine();
            node.serve(session);
            node.arrive(100 + session, session, 0, 1_500, 5_000);
            assertEquals(reader, node.lastSend().engine());
            node.serve(100 + session);
        }
    }

    @Test
    void nodesAgreeOnAnOwnerAndSpreadTheKeys() {
        Set<Long> owners = java.util.stream.LongStream.rangeClosed(1, 20).mapToObj(prefix -> {
            Node one = smallFleet();
            Node two = smallFleet();
            one.arrive(1, 5, prefix, 1_000, 5_000);
            two.arrive(9, 6, prefix, 1_200, 5_000);
            assertEquals(one.lastSend().engine(), two.lastSend().engine());
            return one.lastSend().engine();
        }).collect(Collectors.toSet());
        assertEquals(Set.of(1L, 2L, 3L), owners);
    }

    /**
     * Guards against a prefix that counts as hot at its first arrival at a node with few arrivals: each further owner
     * would have to read it again.
     */
    @ParameterizedTest
    @ValueSource(doubles = {600, 9_000})
    void aRarePrefixHasOneOwnerAmongNodesWithFewArrivals(double tokens) {
        Set<Long> owners = new HashSet<>();
        for (int seed = 1; seed <= 40; seed++) {
            Node node = new Node();
            node.seed = seed;
            node.nodeCount = 100;
            node.start(
                    LongStream.rangeClosed(1, 17).mapToObj(i -> i < 17 ? reader(i) : writer(i)).toArray(Member[]::new));
            node.arrive(1, 1_000 + seed, 77, tokens, 5_000);
            owners.add(node.lastSend().engine());
        }
        assertEquals(1, owners.size(), "readers that read the prefix: " + owners);
    }

    /** Guards against refusals because of the matched reader's queue while other readers could take the request. */
    @Test
    void aReaderWithAWaitingReadIsReplacedByAnother() {
        Node node = new Node();
        node.secondCopies = false;
        node.start(reader(1), reader(2), writer(11));
        node.arrive(1, 7, 0, 1_000, 5_000);
        long firstReader = node.lastSend().engine();
        node.serve(1);
        node.arrive(2, 7, 0, 1_000, 60_000);
        assertEquals(firstReader, node.lastSend().engine());
        node.nowMs += 900;
        node.arrive(3, 7, 0, 1_000, 5_000);
        assertEquals(0, node.finalAnswers(3), "not refused");
        assertNotEquals(firstReader, node.lastSend().engine());
    }

    @Test
    void aClientWithoutCreditIsSentToAnotherReader() {
        Node node = smallFleet();
        node.arrive(1, 7, 0, 30_000, 60_000);
        long firstReader = node.lastSend().engine();
        node.serve(1);
        node.arrive(2, 7, 0, 30_000, 60_000);
        assertEquals(firstReader, node.lastSend().engine(), "credit is left");
        node.serve(2);
        node.arrive(3, 7, 0, 30_000, 60_000);
        assertNotEquals(firstReader, node.lastSend().engine(), "60,000 tokens and the outputs exceed the quantum");
    }

    @Test
    void aLocalityEntryExpires() {
        Node node = smallFleet();
        node.arrive(1, 7, 0, 1_000, 60_000);
        long firstReader = node.lastSend().engine();
        node.end(1, 0, Outcome.ERROR);
        long other = node.lastSend().engine();
        node.end(1, 1, Outcome.READ);
        node.firstToken(1, 2);
        node.end(1, 2, Outcome.SERVED);
        node.nowMs += 10_000;
        node.arrive(2, 7, 0, 1_000, 60_000);
        assertEquals(other, node.lastSend().engine(), "the entry is still valid");
        node.serve(2);
        node.nowMs += 25_000;
        node.arrive(3, 7, 0, 1_000, 60_000);
        assertEquals(firstReader, node.lastSend().engine(), "the entry has expired");
    }

    @Test
    void theWriterWithTheLowestProjectedMemoryIsChosen() {
        Node node = smallFleet();
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        long first = node.lastSend().engine();
        node.arrive(2);
        node.end(2, 0, Outcome.READ);
        assertNotEquals(first, node.lastSend().engine());
    }

    @Test
    void aWriterOfTheReadersCellIsPreferred() {
        Node node = new Node().start(new Member(1, State.READY, 0, 0, 4, 1, 0),
                new Member(2, State.DRAINING, 0, 0, 3, 1, 0), new Member(3, State.READY, 0, 0, 3, 1, 0),
                new Member(11, State.READY, 0, 0, 3, 1, 1), new Member(12, State.READY, 0, 0, 4, 1, 1));
        for (int id = 1; id <= 20; id++) {
            node.arrive(id);
            long reader = node.lastSend().engine();
            node.end(id, 0, Outcome.READ);
            assertEquals(reader == 1 ? 12 : 11, node.lastSend().engine());
            node.firstToken(id, 1);
            node.end(id, 1, Outcome.SERVED);
        }
    }

    /** Guards against herding: 150 nodes with one stream each all chose the lowest id in the reader's cell. */
    @Test
    void manyNodesSpreadReadsAndWritesOverAllEngines() {
        java.util.Map<Long, Integer> sends = new java.util.TreeMap<>();
        for (int seed = 1; seed <= 300; seed++) {
            Node node = new Node();
            node.seed = seed;
            node.nodeCount = 300;
            node.start(reader(1), reader(2), reader(3), new Member(4, State.READY, 0, 0, 1, 1, 0), writer(11),
                    new Member(12, State.READY, 0, 0, 1, 1, 1), new Member(13, State.READY, 0, 0, 1, 1, 1),
                    new Member(14, State.READY, 0, 0, 1, 1, 1));
            node.arrive(seed, 1_000 + seed, 0, 1_000, 5_000);
            node.serve(seed);
            node.sends().forEach(s -> sends.merge(s.engine(), 1, Integer::sum));
        }
        assertEquals(8, sends.size());
        assertTrue(sends.values().stream().allMatch(n -> n > 45 && n < 105), "75 each: " + sends);
    }

    /** Guards against a hot prefix with a single owner, which was one reader for hundreds of nodes. */
    @Test
    void aHotPrefixGetsMoreOwnersAndASessionKeepsOne() {
        java.util.Map<Long, Set<Long>> readers = new java.util.TreeMap<>();
        for (int seed = 1; seed <= 50; seed++) {
            Node node = new Node();
            node.seed = seed;
            node.nodeCount = 50;
            node.start(java.util.stream.LongStream.rangeClosed(1, 10).mapToObj(i -> i < 10 ? reader(i) : writer(i))
                    .toArray(Member[]::new));
            for (int id = 1; id <= 60; id++, node.nowMs += 1_000) {
                node.arrive(id, id % 2 == 0 ? 1_000 + id : 0, id % 2 == 0 ? 77 : 1_000L * seed + id, 1_000, 5_000);
                if (id == 58) {
                    readers.computeIfAbsent(58L + seed % 5, k -> new java.util.TreeSet<>())
                            .add(node.lastSend().engine());
                }
                if (id % 2 == 0)
                    readers.computeIfAbsent(0L, k -> new java.util.TreeSet<>()).add(node.lastSend().engine());
                node.serve(id);
            }
        }
        assertTrue(readers.get(0L).size() >= 5, "owners of half the arrivals: " + readers.get(0L));
        assertTrue(readers.values().stream().skip(1).allMatch(s -> s.size() <= 3), "one session: " + readers);
    }

    @Test
    void aNewReaderIsUsedThoughOthersHaveCreditLeft() {
        Node node = smallFleet();
        for (int id = 1; id <= 10; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.serve(id);
        }
        node.reportList(ListKind.CHANGES, reader(4));
        for (int id = 11; id <= 60; id++) {
            node.arrive(id, id, 0, 1_000, 5_000);
            node.serve(id);
        }
        assertTrue(node.sends().stream().filter(s -> s.engine() == 4).count() >= 5);
    }

    // ---- Every request gets a final answer ----

    @Test
    void aRequestWithoutTimeLeftIsAnsweredAtOnce() {
        Node node = smallFleet();
        node.arrive(1, 0, 0, 1_000, 0);
        assertEquals(1, node.finalAnswers(1));
        node.arrive(2, 0, 0, 1_000, Double.NaN);
        assertEquals(1, node.finalAnswers(2));
        assertTrue(node.sends().isEmpty());
    }

    @Test
    void aRequestAtASilentEngineIsAnsweredOnceBeforeItsDeadline() {
        Node node = smallFleet();
        node.arrive(1);
        node.advanceTo(6_000);
        assertEquals(1, node.finalAnswers(1));
        node.end(1, 0, Outcome.TIMEOUT);
        node.report(new Router.Abandoned(1));
        assertEquals(1, node.finalAnswers(1));
    }

    /** A reader under overload reads cancelled prompts too, so 100 nodes must not save up ten cancellations each. */
    @Test
    void aNodeWithFewArrivalsCancelsFewReads() {
        Node node = new Node();
        node.secondCopies = false;
        node.nodeCount = 100;
        node.start(reader(1), reader(2), reader(3), reader(4), writer(11), writer(12));
        for (long id = 1; id <= 6; id++) {
            node.arrive(id, id, 0, 1_000, 60_000);
            node.advanceTo(node.nowMs + 1_300);
        }
        int cancelled = node.actionsOf(Cancel.class).size();
        assertTrue(cancelled >= 1 && cancelled <= 2, "cancelled: " + cancelled);
    }

    @Test
    void aRequestIsAnsweredWithoutAnyEngine() {
        Node node = new Node().start();
        node.arrive(1);
        node.advanceTo(6_000);
        assertEquals(1, node.finalAnswers(1));
    }

    @Test
    void aRequestIsAnsweredAndReleasedWhenAllWritersAreGone() {
        Node node = smallFleet();
        node.arrive(1);
        node.reportList(ListKind.CHANGES, new Member(11, State.GONE, 0, 0, 0, 1, 1),
                new Member(12, State.GONE, 0, 0, 0, 1, 1));
        node.end(1, 0, Outcome.READ);
        node.advanceTo(node.nowMs + 300);
        assertEquals(1, node.finalAnswers(1));
        assertEquals(1, node.actionsOf(Release.class).size());
        assertEquals(1, node.sends().size());
    }

    @Test
    void aRequestIsServedAfterFailuresOfTheOnlyReaderAndWriter() {
        Node node = new Node().start(reader(1), writer(11));
        node.arrive(1);
        node.end(1, 0, Outcome.ERROR);
        assertEquals(1, node.lastSend().engine());
        node.end(1, 1, Outcome.READ);
        node.end(1, 2, Outcome.FULL);
        assertEquals(11, node.lastSend().engine());
        node.firstToken(1, 3);
        node.end(1, 3, Outcome.SERVED);
        assertEquals(0, node.finalAnswers(1));
    }

    @Test
    void theAttemptLimitEndsTheRequest() {
        Node node = smallFleet();
        node.arrive(1);
        for (int i = 0; i < 5; i++) {
            node.end(1, i, Outcome.UNREACHABLE);
        }
        assertEquals(5, node.sends().size());
        assertEquals(1, node.finalAnswers(1));
    }

    @Test
    void lateDuplicateOrUnknownEventsHaveNoEffect() {
        Node node = smallFleet();
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        assertTrue(node.end(1, 0, Outcome.READ).isEmpty());
        assertTrue(node.end(1, 4, Outcome.READ).isEmpty());
        assertTrue(node.end(8, 0, Outcome.READ).isEmpty());
        assertTrue(node.firstToken(8, 0).isEmpty());
        assertTrue(node.report(new Router.Abandoned(8)).isEmpty());
        assertTrue(node.report(new Router.Timer(8 << 12)).isEmpty());
        node.firstToken(1, 1);
        node.firstToken(1, 1);
        node.end(1, 1, Outcome.SERVED);
        assertTrue(node.end(1, 1, Outcome.SERVED).isEmpty());
        assertEquals(2, node.sends().size());
    }

    @Test
    void outOfRangeValuesDoNotAffectLaterRequests() {
        Node node = smallFleet();
        double[] outOfRange = {Double.NaN, -5, 0, Double.POSITIVE_INFINITY, 1e30};
        long id = 1;
        for (double value : outOfRange) {
            node.report(new Arrival(id, 0, 0, 3, value, 4, value, 5_000, value, value, false));
            node.end(id, 0, Outcome.READ, value, value, false);
            node.report(new Router.FirstToken(id, 1, 0, value));
            node.end(id, 1, Outcome.SERVED);
            id++;
        }
        for (int i = 0; i < 20; i++) {
            node.arrive(id);
            assertNotNull(node.lastSend(), "request " + id);
            node.serve(id++);
        }
    }

    // ---- No duplicated effects ----

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedNotRepeated() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), writer(11), writer(12));
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        node.end(1, 1, Outcome.FULL);
        assertNotNull(node.lastSend(), "FULL proves that it had no effect");
        node.end(1, 2, Outcome.RESET);
        node.advanceTo(7_000);
        assertEquals(3, node.sends().size());
        assertEquals(1, node.actionsOf(Fail.class).size());
        assertTrue(node.actionsOf(Refuse.class).isEmpty());
    }

    /** A writer that answers everything with errors is fast and appears the least loaded: each unsafe request there fails. */
    @Test
    void unsafeWorkIsNotSentToAWriterThatFailedLast() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), writer(11), writer(12), writer(13));
        for (int id = 1; id <= 6; id++) {
            node.arrive(id);
            node.serve(id);
        }
        node.arrive(7);
        node.end(7, 0, Outcome.READ);
        long failed = node.lastSend().engine();
        node.end(7, 1, Outcome.ERROR);
        for (int id = 8; id <= 20; id++) {
            node.arrive(id);
            node.end(id, 0, Outcome.READ);
            assertNotEquals(failed, node.lastSend().engine());
            node.firstToken(id, 1);
        }
    }

    /** No attempt may follow one that may have run: the client must get its answer at once, not at the pin limit. */
    @Test
    void anUnsafeRequestThatAWriterFailedIsAnsweredAtOnceAndItsStateReleased() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), writer(11), writer(12));
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        List<Router.Action> answer = node.end(1, 1, Outcome.ERROR);
        assertTrue(answer.contains(new Fail(1, Router.EndReason.MAY_HAVE_RUN)));
        assertTrue(answer.contains(new Release(1)));
    }

    /** Unsafe work in a writer's queue may be late; if it were cancelled it would be lost, as nothing may follow it. */
    @Test
    void anUnsafeRequestThatWaitsAtAWriterIsNotCancelledBeforeItsDeadline() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), writer(11), writer(12));
        for (int id = 1; id <= 5; id++) {
            node.arrive(id);
            node.serve(id);
        }
        node.arrive(6);
        node.end(6, 0, Outcome.READ);
        node.advanceTo(node.nowMs + 4_900);
        assertTrue(node.actionsOf(Cancel.class).isEmpty());
        node.firstToken(6, 1);
        node.end(6, 1, Outcome.SERVED);
        assertEquals(0, node.finalAnswers(6));
    }

    /** An engine that is silent for as long as the goal is ejected, though the work sent there is not cancelled. */
    @Test
    void aWriterThatIsSilentOnUnsafeWorkIsEjected() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), writer(11), writer(12));
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        long silentWriter = node.lastSend().engine();
        for (int id = 2; id <= 4; id++) {
            node.arrive(id);
            node.end(id, 0, Outcome.READ);
            if (node.lastSend().engine() != silentWriter) node.firstToken(id, 1);
        }
        assertTrue(node.sends().stream().filter(s -> s.engine() == silentWriter).count() > 1);
        node.advanceTo(node.nowMs + 2_000);
        assertTrue(node.actionsOf(Router.Log.class).stream()
                .anyMatch(l -> l.text().contains(Long.toHexString(silentWriter))));
    }

    /** Guards against a second read of an unsafe request while the first is in flight. */
    @Test
    void anUnsafeReadIsNeverCopiedWhileItIsInFlight() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(reader(1), reader(2), writer(11));
        node.arrive(1);
        node.advanceTo(4_000);
        assertEquals(1, node.sends().size(), "no proof yet that the first had no effect");
        assertEquals(List.of(new Cancel(1, 0)), node.actionsOf(Cancel.class));
        node.end(1, 0, Outcome.CANCELLED);
        assertEquals(2, node.sends().size(), "a read that has ended had no effect");
        node.advanceTo(7_000);
        assertEquals(1, node.actionsOf(Fail.class).size(),
                "the second is in flight: no promise that a retry is harmless");
        assertTrue(node.actionsOf(Refuse.class).isEmpty());
    }

    @Test
    void aKeyedRequestStaysWithinItsScopeAndWindow() {
        Node node = new Node();
        node.repeat = Repeat.KEYED;
        node.scope = Scope.CELL;
        node.start(new Member(1, State.READY, 0, 0, 1, 1, 0), new Member(11, State.READY, 0, 0, 1, 1, 1),
                new Member(12, State.READY, 0, 0, 1, 1, 1), new Member(13, State.READY, 0, 0, 2, 1, 1));
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        node.end(1, 1, Outcome.RESET);
        node.end(1, 2, Outcome.RESET);
        assertFalse(node.sends().stream().anyMatch(s -> s.engine() == 13));
        node.nowMs += 2_500;
        node.end(1, 3, Outcome.RESET);
        assertNull(node.lastSend(), "the window is over");
        node.advanceTo(7_000);
        assertEquals(1, node.actionsOf(Fail.class).size());
    }

    /** A repeat may have to wait for a connection, and a client that is refused retries after that. */
    @Test
    void aKeyedRequestIsNeitherSentNorRefusedAfterItsWindow() {
        Node node = new Node();
        node.repeat = Repeat.KEYED;
        node.retryAfter = true;
        node.start(reader(1), writer(11), writer(12));
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        assertEquals(Double.POSITIVE_INFINITY, node.lastSend().startByMs(), "the first attempt has no window");
        double windowEndMs = node.nowMs + 2_000;
        node.nowMs += 100;
        node.end(1, 1, Outcome.RESET);
        assertTrue(node.lastSend().startByMs() < windowEndMs && node.lastSend().startByMs() > windowEndMs - 50);
        node.nowMs = windowEndMs + 1;
        node.end(1, 2, Outcome.RESET);
        assertEquals(1, node.actionsOf(Fail.class).size(), "at once, as no attempt may follow");
        assertTrue(node.actionsOf(Refuse.class).isEmpty());
    }

    @Test
    void aKeyedRequestIsRefusedInsideItsWindowWithTimeToRetry() {
        Node node = new Node();
        node.repeat = Repeat.KEYED;
        node.retryAfter = true;
        node.start(reader(1), writer(11));
        node.arrive(1, 0, 0, 1_000, 1_500);
        node.end(1, 0, Outcome.READ);
        double windowEndMs = node.nowMs + 2_000;
        node.advanceTo(2_600);
        assertEquals(1, node.actionsOf(Refuse.class).size());
        assertTrue(node.nowMs + node.actionsOf(Refuse.class).get(0).retryAfterMs() < windowEndMs);
    }

    @Test
    void noSecondAttemptIsSentWithoutPermission() {
        Node node = new Node();
        node.secondCopies = false;
        node.cancel = false;
        node.start(reader(1), reader(2), writer(11));
        node.arrive(1);
        node.advanceTo(5_900);
        assertEquals(1, node.sends().size());
        assertTrue(node.actionsOf(Cancel.class).isEmpty());
    }

    @Test
    void anEngineOfBothRolesServesARequestInOneAttempt() {
        Node node = new Node().start(member(21, 2), member(22, 2));
        node.arrive(1);
        assertTrue(node.lastSend().engine() > 20);
        node.firstToken(1, 0);
        node.end(1, 0, Outcome.SERVED);
        assertEquals(1, node.sends().size());
    }

    @Test
    void unsafeWorkThatFailedAtAnEngineOfBothRolesIsNotRepeated() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(member(21, 2), member(22, 2));
        node.arrive(1);
        node.end(1, 0, Outcome.ERROR);
        node.advanceTo(7_000);
        assertEquals(1, node.sends().size());
        assertEquals(1, node.actionsOf(Fail.class).size());
    }

    /** Guards against cancelled long tool calls and against broken ones that were answered only at the deadline. */
    @Test
    void unsafeWorkAtAnEngineOfBothRolesIsNotCancelledAndFailsAtOnceOnAReset() {
        Node node = new Node();
        node.repeat = Repeat.UNSAFE;
        node.start(member(21, 2), member(22, 2));
        node.arrive(1);
        node.advanceTo(4_000);
        assertTrue(node.actionsOf(Cancel.class).isEmpty());
        node.end(1, 0, Outcome.RESET);
        assertEquals(1, node.actionsOf(Fail.class).size());
        assertEquals(1, node.sends().size());
    }

    @Test
    void writersReadWhereNoReaderIsLeft() {
        Node node = new Node();
        node.writersRead = true;
        node.start(writer(11), writer(12));
        node.arrive(1);
        assertEquals(1, node.sends().size());
    }

    // ---- Drains, cold engines, held states ----

    @Test
    void aDrainingEngineGetsNoNewWork() {
        Node node = smallFleet();
        node.reportList(ListKind.CHANGES, new Member(1, State.DRAINING, 0, 0, 0, 1, 0));
        node.reportList(ListKind.WHOLE, reader(1), reader(3), writer(11));
        node.reportList(ListKind.CHANGES, new Member(1, State.DRAINING, 0, 0, 0, 1, 0));
        for (int id = 1; id < 20; id++) {
            node.arrive(id, id, 0, 500, 5_000);
            node.serve(id);
        }
        assertEquals(Set.of(3L, 11L), node.sends().stream().map(Send::engine).collect(Collectors.toSet()));
    }

    @Test
    void aStateIsReleasedWhenItsReadEndsAfterTheRequest() {
        Node node = smallFleet();
        node.arrive(1);
        node.report(new Router.Abandoned(1));
        node.end(1, 0, Outcome.READ);
        assertEquals(List.of(new Release(1)), node.lastActions);
    }

    @Test
    void aStateIsReleasedAgainWhenTheAttemptThatWaitedForItEnds() {
        Node node = smallFleet();
        node.arrive(1);
        node.end(1, 0, Outcome.READ);
        node.advanceTo(6_000);
        assertEquals(1, node.finalAnswers(1));
        assertTrue(node.end(1, node.sends().size() - 1, Outcome.CANCELLED).contains(new Release(1)));
    }

    // ---- Subscriptions, clients that leave, bounded tables ----

    @Test
    void aFailedSubscriptionIsRetriedOnce() {
        Node node = new Node();
        node.mustSubscribe = true;
        node.start(reader(1), writer(11));
        assertEquals(1, node.actionsOf(Subscribe.class).size());
        node.reportList(ListKind.FAILED);
        node.reportList(ListKind.FAILED);
        node.advanceTo(node.nowMs + 2_000);
        assertEquals(2, node.actionsOf(Subscribe.class).size());
        node.arrive(1);
        assertNotNull(node.lastSend(), "the old list stays in use");
    }

    /** Whatever stage a request has reached when its client leaves, nothing more is sent for it. */
    @ParameterizedTest
    @ValueSource(strings = {"waits for a reader", "reads", "waits for a writer", "writes", "waits to retry"})
    void nothingIsSentForAClientThatHasLeft(String stage) {
        Node node = new Node();
        node.secondCopies = false;
        node.start(stage.equals("waits for a reader") ? new Member[0] : new Member[] {reader(1)});
        if (stage.equals("writes")) node.reportList(ListKind.CHANGES, writer(11));
        node.arrive(1);
        if (stage.equals("waits to retry")) {
            node.reportList(ListKind.CHANGES, new Member(1, State.DRAINING, 0, 0, 0, 1, 0));
            node.end(1, 0, Outcome.ERROR);
        }
        if (stage.equals("waits for a writer") || stage.equals("writes")) node.end(1, 0, Outcome.READ);
        int sends = node.sends().size();
        assertEquals(stage.equals("writes") ? 2 : stage.equals("waits for a reader") ? 0 : 1, sends);
        node.report(new Router.Abandoned(1));
        boolean held = stage.equals("waits for a writer") || stage.equals("writes");
        assertEquals(held, !node.actionsOf(Release.class).isEmpty(), "a held state is released at once");
        node.reportList(ListKind.WHOLE, reader(1), reader(2), writer(11), writer(12));
        if (stage.equals("reads")) node.end(1, 0, Outcome.CANCELLED);
        if (stage.equals("writes")) node.end(1, 1, Outcome.CANCELLED);
        node.advanceTo(node.nowMs + 10_000);
        assertEquals(sends, node.sends().size());
        assertEquals(0, node.finalAnswers(1));
    }

    @Test
    void tablesStayBoundedOverManyRequests() {
        Node node = smallFleet();
        for (int id = 1; id <= 50_000; id++) {
            node.arrive(id, id, id % 97, 1_000, 5_000);
            if (node.lastSend() != null && id % 5 == 0) {
                node.report(new Router.Abandoned(id));
                node.end(id, 0, Outcome.READ);
            } else if (node.lastSend() != null) {
                node.serve(id);
            }
            node.actions.clear();
            node.nowMs += 10;
        }
        node.nowMs += 60_000;
        for (int id = 1; id <= 50_000; id += 1_000) {
            assertTrue(node.end(id, 1, Outcome.RESET).isEmpty());
        }
        assertTrue(node.tableEntries() < 70_000, "entries " + node.tableEntries());
    }
}
