package maplerail.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The gateways, engines, discovery agents and clients of one run. */
final class SoakFleet implements AutoCloseable {
    private static final int READERS = 5;
    private static final int WRITERS = 5;
    private static final int CHECK_INTERVAL_MS = 20;
    /** Two zones, one of them with two cells; each with readers and writers. */
    private static final List<Ledger.Location> LOCATIONS = List.of(new Ledger.Location("a", 0),
            new Ledger.Location("a", 1), new Ledger.Location("b", 2));

    final Ledger ledger;
    final EngineDirectory directory = new EngineDirectory();
    final List<EngineStandIn> engines = new ArrayList<>();
    final List<GatewayProcess> gateways = new ArrayList<>();
    final List<LoadClients> clients = new ArrayList<>();
    private final Set<Object> busy = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** An action on an engine. */
    interface EngineAction {
        void apply(EngineStandIn engine) throws Exception;
    }

    SoakFleet(SoakSettings settings, Path folder, Path shim, String command, SplittableRandom random) throws Exception {
        ledger = new Ledger(settings);
        for (int i = 0; i < READERS + WRITERS; i++) {
            EngineStandIn engine = new EngineStandIn((i < READERS ? "r" : "w") + i, i < READERS,
                    LOCATIONS.get(i % LOCATIONS.size()), ledger, settings);
            ledger.addEngine(engine.host, engine.location);
            engines.add(engine);
            directory.publish(engine);
        }
        ExecutorService starters = Executors.newFixedThreadPool(settings.gateways);
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < settings.gateways; i++) {
            GatewayProcess gateway = new GatewayProcess("g" + i, folder, shim, command, directory, ledger, settings);
            gateways.add(gateway);
            clients.add(new LoadClients(gateway, ledger, settings, random.split()));
            started.add(starters.submit(() -> {
                gateway.start();
                return null;
            }));
        }
        for (Future<?> one : started) one.get();
        starters.shutdown();
        DaemonThreads.start("held states", () -> {
            while (!closed) {
                ledger.runPeriodicChecks();
                gateways.forEach(GatewayProcess::recordAssumedDeliveries);
                Thread.sleep(CHECK_INTERVAL_MS);
            }
        });
    }

    /** Applies an action to a random gateway, unless another action on it is in progress. */
    void withOneGateway(SplittableRandom random, Trouble.GatewayAction action) throws Exception {
        GatewayProcess gateway = gateways.get(random.nextInt(gateways.size()));
        if (!busy.add(gateway)) return;
        try {
            action.apply(gateway);
        } finally {
            busy.remove(gateway);
        }
    }

    void withOneEngine(SplittableRandom random, EngineAction action) throws Exception {
        withEngine(engines.get(random.nextInt(engines.size())), action);
    }

    void withOneReader(SplittableRandom random, EngineAction action) throws Exception {
        withEngine(engines.get(random.nextInt(READERS)), action);
    }

    private void withEngine(EngineStandIn engine, EngineAction action) throws Exception {
        if (!busy.add(engine)) return;
        try {
            action.apply(engine);
        } finally {
            busy.remove(engine);
        }
    }

    /**
     * Applies an action to a random share of the engines of a role at the same time, skipping those on which another
     * action is in progress, and undoes it after some time.
     */
    void withRole(boolean readers, SplittableRandom random, EngineAction action, EngineAction undo, int forMs)
            throws Exception {
        List<EngineStandIn> affected = new ArrayList<>();
        double share = 0.25 + 0.75 * random.nextDouble();
        for (EngineStandIn engine : engines) {
            if (engine.reader == readers && random.nextDouble() < share && busy.add(engine)) affected.add(engine);
        }
        try {
            for (EngineStandIn engine : affected) action.apply(engine);
            TimeUnit.MILLISECONDS.sleep(forMs);
        } finally {
            for (EngineStandIn engine : affected) undo.apply(engine);
            busy.removeAll(affected);
        }
    }

    /** Applies an action to gateways one after another, skipping those on which another action is in progress. */
    void withGatewaysInTurn(int maxCount, Trouble.GatewayAction action) throws Exception {
        for (GatewayProcess gateway : gateways.subList(0, Math.min(maxCount, gateways.size()))) {
            if (!busy.add(gateway)) continue;
            try {
                action.apply(gateway);
            } finally {
                busy.remove(gateway);
            }
        }
    }

    /** Sends a request on each of these connections to a gateway at the same time; the answers are checked as usual. */
    void sendAtOnce(GatewayProcess gateway, List<Socket> crowd) {
        LoadClients sender = clients.get(gateways.indexOf(gateway));
        for (Socket socket : crowd) DaemonThreads.start("crowd", () -> sender.sendOn(socket));
    }

    List<DiscoveryAgent> agents() {
        return gateways.stream().map(GatewayProcess::agent).toList();
    }

    /** Counts the breaches that the gateways' own rule monitors have logged. */
    long loggedBreaches() throws IOException {
        long count = 0;
        for (GatewayProcess gateway : gateways) {
            try (var lines = Files.lines(gateway.log())) {
                count += lines.filter(line -> line.contains("rule broken:")).count();
            }
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (LoadClients client : clients) client.closeIdle();
        for (GatewayProcess gateway : gateways) gateway.close();
        for (EngineStandIn engine : engines) engine.close();
        ledger.close();
    }
}
