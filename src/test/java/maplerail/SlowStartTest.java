package maplerail;

import static maplerail.Node.reader;
import static maplerail.Node.writer;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.Send;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The load on engines in slow start from a whole fleet of gateways: enough to be useful, within their budget. */
class SlowStartTest {
    private static final double START_MS = 100_000;
    private static final double REPLACED_MS = 120_000;
    /** The same values as in the settings of {@link Node}. */
    private static final double START_CAPACITY = 0.3;
    private static final double WARM_AFTER_MS = 10_000;
    private static final double TIP_MULTIPLE = 2.5;
    private static final double TIP_WINDOW_MS = 3_000;

    /** A read that was sent to an engine that started at {@link #REPLACED_MS}. */
    private record ColdRead(long engine, double atMs) {}

    private static Member started(long engine) {
        return new Member(engine, State.READY, REPLACED_MS, 0, 0, 1, 0);
    }

    private static Member[] engines(int warm, int cold) {
        List<Member> members = new ArrayList<>();
        LongStream.rangeClosed(1, warm).forEach(id -> members.add(reader(id)));
        LongStream.rangeClosed(101, 100 + cold).forEach(id -> members.add(started(id)));
        members.add(writer(201));
        return members.toArray(Member[]::new);
    }

    /**
     * Simulates a fleet whose gateways together get a request every {@code arrivalIntervalMs}, served at once. At
     * {@link #REPLACED_MS}, all but {@code warmLeft} of its readers are replaced by cold ones.
     */
    private static List<ColdRead> simulate(int gateways, int readers, int warmLeft, double arrivalIntervalMs,
            double untilMs) {
        List<Node> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            Node node = new Node();
            node.seed = i + 1;
            node.nodeCount = gateways;
            node.nowMs = START_MS;
            fleet.add(node.start(engines(readers, 0)));
        }
        List<ColdRead> coldReads = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(gateways);
        boolean replaced = false;
        long id = 0;
        for (double now = START_MS; now < untilMs; now += arrivalIntervalMs) {
            if (now >= REPLACED_MS && !replaced) {
                replaced = true;
                for (Node node : fleet) {
                    node.nowMs = REPLACED_MS;
                    node.reportList(ListKind.WHOLE, engines(warmLeft, readers - warmLeft));
                }
            }
            Node node = fleet.get(random.nextInt(gateways));
            node.nowMs = now;
            node.arrive(++id);
            Send read = node.lastSend();
            if (read == null) continue;
            if (read.engine() > 100) coldReads.add(new ColdRead(read.engine(), now));
            node.serve(id);
        }
        return coldReads;
    }

    /**
     * Guards against cold engines that stay idle while the few warm ones are overloaded. It happened when six in ten
     * engines were replaced, as each gateway gave the cold ones a share of what it had sent to warm engines before.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void coldEnginesRelieveTheFewWarmOnes(int gateways) {
        double arrivalIntervalMs = 12.5;
        List<ColdRead> cold = simulate(gateways, 17, 7, arrivalIntervalMs, REPLACED_MS + 6_000);
        double lateReads = cold.stream().filter(read -> read.atMs() >= REPLACED_MS + 2_000).count();
        double share = lateReads / (4_000 / arrivalIntervalMs);
        // Ten cold engines at 0.58 of their capacity on average, beside seven warm ones: 0.45 of the total capacity.
        assertTrue(share > 0.3 && share < 0.6, "share of the reads that went to cold engines: " + share);
    }

    /**
     * In any window, the budget of a cold engine is the rules' multiple of its current capacity, N calls. For chance,
     * twice the root of N and two more are allowed; three times the root and three more where N is under 30.
     */
    @ParameterizedTest
    @CsvSource({"1,1,4", "1,3,4", "1,30,4", "1,100,4", "10,1,4", "10,3,4", "10,30,4", "10,100,4", "29,1,4", "29,3,4",
            "29,30,4", "29,100,4", "30,1,4", "30,3,4", "30,30,4", "30,100,4", "100,1,4", "100,3,4", "100,30,4",
            "100,100,4", "1,100,0", "10,3,0", "10,100,0", "30,1,0", "30,30,0", "100,3,0", "100,100,0", "10,1,2",
            "30,100,2"})
    void theReadsOfAllGatewaysStayWithinTheBudget(int calls, int gateways, int warmLeft) {
        int readers = 5;
        double capacityPerMs = calls / (TIP_MULTIPLE * START_CAPACITY * TIP_WINDOW_MS);
        double arrivalIntervalMs = 1 / (0.9 * readers * capacityPerMs);
        List<ColdRead> cold = simulate(gateways, readers, warmLeft, arrivalIntervalMs, REPLACED_MS + 14_000);
        for (ColdRead first : cold) {
            double age = (first.atMs() - REPLACED_MS) / WARM_AFTER_MS;
            double currentShare = Math.min(1, START_CAPACITY + (1 - START_CAPACITY) * age);
            double budget = TIP_MULTIPLE * currentShare * capacityPerMs * TIP_WINDOW_MS;
            double chance = budget < 30 ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
            long inWindow = cold.stream().filter(read -> read.engine() == first.engine()
                    && read.atMs() >= first.atMs() && read.atMs() < first.atMs() + TIP_WINDOW_MS).count();
            assertTrue(inWindow <= budget + chance, inWindow + " reads of " + budget + " at " + first);
        }
        assertTrue(gateways * calls < 100 || !cold.isEmpty(), "cold engines are used");
    }

    @Test
    void aColdEngineGetsOnlyThisNodesShare() {
        Node node = new Node();
        node.nodeCount = 2;
        node.nowMs = 100_000;
        node.start(reader(1), reader(2), writer(11), new Member(12, State.READY, 99_000, 0, 0, 1, 1));
        for (int id = 1; id <= 80; id++) {
            node.nowMs += 50;
            node.arrive(id, id, 0, 500, 5_000);
            node.serve(id);
        }
        long warm = node.sends().stream().filter(s -> s.engine() == 11).count();
        long cold = node.sends().stream().filter(s -> s.engine() == 12).count();
        assertTrue(cold >= 2 && cold <= 0.45 * warm + 1, cold + " cold against " + warm);
    }

    /**
     * Guards against cold engines that get their initial share until they are warm, and idle while warm engines are
     * overloaded. The node runs for a while first, as its own samples grow in its first seconds too.
     */
    @Test
    void aColdEngineGetsMoreAsItWarms() {
        Node node = new Node();
        node.nowMs = 80_000;
        node.start(reader(1), writer(11), writer(12), writer(13), writer(14));
        int first = 0;
        int last = 0;
        for (int id = 1; id <= 2_900; id++) {
            node.nowMs += 10;
            if (id == 2_000) node.reportList(ListKind.CHANGES, new Member(15, State.READY, node.nowMs, 0, 0, 1, 1));
            node.arrive(id);
            node.serve(id);
            boolean cold = node.sends().get(node.sends().size() - 1).engine() == 15;
            if (cold && id <= 2_300) first++;
            if (cold && id > 2_600) last++;
        }
        assertTrue(first >= 20, first + " of 300 in the first 3 s, at 0.4 of its capacity");
        assertTrue(last > 1.6 * first, first + " in the first 3 s, " + last + " in the last 3 s of the 9 s");
    }

    @Test
    void manyNodesTogetherDoNotOverloadAColdEngine() {
        int atOnce = 0;
        int inTenSeconds = 0;
        for (int seed = 1; seed <= 100; seed++) {
            Node node = new Node();
            node.seed = seed;
            node.nodeCount = 100;
            node.nowMs = 100_000;
            node.start(reader(21), new Member(1, State.READY, 99_900, 0, 0, 1, 0), writer(31));
            for (int id = 1; id <= 10; id++, node.nowMs += 1_000) {
                node.arrive(id);
                boolean cold = node.lastSend() != null && node.lastSend().engine() == 1;
                inTenSeconds += cold ? 1 : 0;
                atOnce += cold && id == 1 ? 1 : 0;
                if (node.lastSend() != null) node.serve(id);
            }
        }
        assertTrue(atOnce <= 3, "sends to the cold engine at once: " + atOnce);
        assertTrue(inTenSeconds < 450, "of 1,000 sends in all: " + inTenSeconds);
    }

    /** In any window the engine's budget is the rules' multiple of its current capacity, with an allowance for chance. */
    @ParameterizedTest
    @ValueSource(ints = {20, 30, 100})
    void theSendsOfAllNodesStayWithinAColdEnginesBudgetAsItWarms(int nodes) {
        double arrivalIntervalMs = 40; // over the fleet: warm engines, half loaded, take one every 400 ms
        double windowMs = 3_000;
        List<Double> sent = new ArrayList<>();
        List<Node> fleet = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            Node node = new Node();
            node.seed = i + 1;
            node.nodeCount = nodes;
            node.nowMs = 95_000;
            node.start(reader(2), reader(3), reader(4), reader(5), reader(6), writer(31), writer(32));
            fleet.add(node);
        }
        SplittableRandom random = new SplittableRandom(nodes);
        double now = 95_000;
        for (long id = 1; now < 112_000; id++, now += arrivalIntervalMs) {
            Node node = fleet.get(random.nextInt(nodes));
            node.nowMs = now;
            if (now >= 100_000) node.reportList(ListKind.CHANGES, new Member(1, State.READY, 100_000, 0, 0, 1, 0));
            node.arrive(id, 0, 0, 1_000, 5_000);
            if (node.lastSend() != null && node.lastSend().engine() == 1) sent.add(now);
            if (node.lastSend() != null) node.serve(id);
        }
        for (double from : sent) {
            // Its full capacity is twice what a warm peer gets. By the settings, its budget is 2.5 times its current
            // capacity, which starts at 0.3 of the full one and reaches it after 10 s.
            double capacity = 2 * windowMs / (6 * arrivalIntervalMs) * (0.3 + 0.7 * (from - 100_000) / 10_000);
            double budget = 2.5 * Math.min(capacity, 2 * windowMs / (6 * arrivalIntervalMs));
            long inWindow = sent.stream().filter(at -> at >= from && at < from + windowMs).count();
            assertTrue(inWindow <= budget + 2 * Math.sqrt(budget) + 2,
                    inWindow + " sends of " + budget + " from " + from);
        }
        assertTrue(sent.size() > 3, "it is used as it warms: " + sent.size());
    }

    /**
     * Guards against a rate of answers that includes the attempts which full warm engines turn away: it would raise the
     * limit on sends to cold engines.
     */
    @Test
    void fullAnswersOfWarmEnginesDoNotFillTheColdBudget() {
        Node node = new Node();
        node.nowMs = 100_000;
        node.start(reader(2), reader(3), new Member(1, State.READY, 99_900, 0, 0, 1, 0), writer(31));
        int cold = 0;
        for (int id = 1; id <= 250; id++, node.nowMs += 20) {
            node.arrive(id);
            for (int attempt = 0; node.lastSend() != null; attempt++) {
                cold += node.lastSend().engine() == 1 ? 1 : 0;
                node.end(id, attempt, node.lastSend().engine() == 1 ? Outcome.ERROR : Outcome.FULL);
            }
        }
        assertTrue(cold <= 3, "sends to the cold reader, though no warm one took any: " + cold);
    }

    @Test
    void aRestartedNodeLimitsColdSendsAtOnce() {
        Node node = new Node();
        node.nodeCount = 3;
        node.nowMs = 100_000;
        node.start(new Member(1, State.READY, 99_900, 0, 0, 1, 0), writer(11));
        for (int id = 1; id <= 20; id++) {
            node.nowMs += 20;
            node.arrive(id);
        }
        assertTrue(node.sends().size() <= 1);
    }
}
