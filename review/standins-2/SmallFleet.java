import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A small deployment: two gateways, ten engines in two zones, and an agent for each gateway. */
abstract class SmallFleet extends Rig2 {
    static final int READERS = 5;
    static final int WRITERS = 5;
    /** The grace of the drain rule, with the 50 ms that the rules on sockets add. */
    static final double DRAIN_GRACE_MS = 250 + 50;

    final Cluster cluster = new Cluster();
    final List<Agent> agents = new ArrayList<>();
    final AtomicBoolean loadEnds = new AtomicBoolean();
    private final List<Thread> clients = new ArrayList<>();

    SmallFleet(String[] args) throws IOException {
        super(args);
    }

    /** Creates engines, agents and gateways; the gateways are not started. */
    void build(int gatewayCount) throws IOException {
        for (int i = 0; i < READERS; i++) cluster.add("s-read" + i, true, i < 3 ? "ub-east" : "ub-west", i < 3 ? 1 : 2);
        for (int i = 0; i < WRITERS; i++) cluster.add("s-write" + i, false, i < 2 ? "ub-east" : "ub-west", i < 2 ? 1 : 2);
        for (int i = 0; i < gatewayCount; i++) {
            agents.add(newAgent("a" + i));
            new Gateway("n" + i);
        }
    }

    Agent newAgent(String name) throws IOException {
        Agent agent = new Agent(name);
        for (Engine engine : cluster.engines.values()) {
            Entry copy = new Entry();
            copy.host = engine.entry.host;
            copy.dial = engine.entry.dial;
            copy.site = engine.entry.site;
            copy.kind = engine.entry.kind;
            copy.block = engine.entry.block;
            agent.add(copy);
        }
        return agent;
    }

    void startGateways(String settings) throws Exception {
        for (int i = 0; i < gateways.size(); i++) {
            gateways.get(i).configure(agents.get(i).server.address(), agents.get(i).list(-1), settings);
            gateways.get(i).start(agents.get(i).server.address());
        }
        for (Gateway gateway : gateways) gateway.awaitReady();
    }

    /** Sends requests of both classes to a gateway at a rate, each with a session of its own, until the load ends. */
    void load(Gateway gateway, double perSecond, int promptTokens) {
        clients.add(spawn("load", () -> {
            int sent = 0;
            double startMs = now();
            while (!loadEnds.get()) {
                int number = sent++;
                String kind = number % 2 == 0 ? "ask" : "book";
                String session = gateway.name + number;
                spawn("client", () -> ask(gateway, kind, Integer.toHexString(session.hashCode()), 4_000, promptTokens));
                sleepUntil(startMs + sent * 1_000 / perSecond);
            }
        }));
    }

    /** The same, but the gaps between requests are drawn. */
    void loadAtRandom(Gateway gateway, double perSecond, int promptTokens) {
        clients.add(spawn("load", () -> {
            double nextMs = now();
            for (int number = 0; !loadEnds.get(); number++) {
                String kind = number % 2 == 0 ? "ask" : "book";
                String session = Integer.toHexString((gateway.name + number).hashCode());
                spawn("client", () -> ask(gateway, kind, session, 4_000, promptTokens));
                nextMs -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
                sleepUntil(nextMs);
            }
        }));
    }

    /** Checks the drain rule: no new work at an engine later than the grace after the gateway counted as told. */
    void checkDrain(Engine drained, double toldMs, double untilMs) {
        List<Arrival> arrivals;
        synchronized (drained.arrivals) {
            arrivals = List.copyOf(drained.arrivals);
        }
        for (Arrival arrival : arrivals) {
            if (arrival.firstByteMs() > toldMs + DRAIN_GRACE_MS && arrival.firstByteMs() < untilMs)
                breach("%s was sent to %s %.0f ms after the gateway counted as told that it drains", arrival.id(),
                        drained.entry.host, arrival.firstByteMs() - toldMs);
        }
    }

    int arrivalsBetween(Engine engine, double fromMs, double untilMs) {
        synchronized (engine.arrivals) {
            return (int) engine.arrivals.stream().filter(a -> a.firstByteMs() >= fromMs && a.firstByteMs() < untilMs).count();
        }
    }
}
