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

/** Gateways, engines, agents and clients of one run. */
final class SoakFleet implements AutoCloseable {
    private static final int READERS = 5;
    private static final int WRITERS = 5;
    private static final int HELD_LOOK_MS = 20;
    /** Two zones, one of them with two cells; each with readers and writers. */
    private static final List<Ledger.Place> PLACES = List.of(new Ledger.Place("a", 0), new Ledger.Place("a", 1),
            new Ledger.Place("b", 2));

    final Ledger ledger;
    final Directory directory = new Directory();
    final List<EngineStandIn> engines = new ArrayList<>();
    final List<GatewayProcess> gateways = new ArrayList<>();
    final List<LoadClients> clients = new ArrayList<>();
    private final Set<Object> busy = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Something that is done to an engine. */
    interface EngineTrouble {
        void befall(EngineStandIn engine) throws Exception;
    }

    SoakFleet(SoakSettings settings, Path folder, Path shim, String command, SplittableRandom random) throws Exception {
        ledger = new Ledger(settings);
        for (int i = 0; i < READERS + WRITERS; i++) {
            EngineStandIn engine = new EngineStandIn((i < READERS ? "r" : "w") + i, i < READERS,
                    PLACES.get(i % PLACES.size()), ledger, settings);
            ledger.stands(engine.host, engine.place);
            engines.add(engine);
            directory.list(engine);
        }
        ExecutorService starting = Executors.newFixedThreadPool(settings.gateways);
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < settings.gateways; i++) {
            GatewayProcess gateway = new GatewayProcess("g" + i, folder, shim, command, directory, ledger, settings);
            gateways.add(gateway);
            clients.add(new LoadClients(gateway, ledger, settings, random.split()));
            started.add(starting.submit(() -> {
                gateway.start();
                return null;
            }));
        }
        for (Future<?> one : started) one.get();
        starting.shutdown();
        Daemon.start("held states", () -> {
            while (!closed) {
                ledger.check();
                gateways.forEach(GatewayProcess::countAsTold);
                Thread.sleep(HELD_LOOK_MS);
            }
        });
    }

    /** Does something to a gateway that nothing else is being done to; the same engine or gateway is not hit twice. */
    void withOneGateway(SplittableRandom random, Trouble.GatewayTrouble what) throws Exception {
        GatewayProcess gateway = gateways.get(random.nextInt(gateways.size()));
        if (!busy.add(gateway)) return;
        try {
            what.befall(gateway);
        } finally {
            busy.remove(gateway);
        }
    }

    void withOneEngine(SplittableRandom random, EngineTrouble what) throws Exception {
        withEngine(engines.get(random.nextInt(engines.size())), what);
    }

    void withOneReader(SplittableRandom random, EngineTrouble what) throws Exception {
        withEngine(engines.get(random.nextInt(READERS)), what);
    }

    private void withEngine(EngineStandIn engine, EngineTrouble what) throws Exception {
        if (!busy.add(engine)) return;
        try {
            what.befall(engine);
        } finally {
            busy.remove(engine);
        }
    }

    /** Does something to some of the engines of a role at once, at most to all of them. */
    void withRole(boolean readers, SplittableRandom random, EngineTrouble what, EngineTrouble after, int forMs)
            throws Exception {
        List<EngineStandIn> hit = new ArrayList<>();
        double share = 0.25 + 0.75 * random.nextDouble();
        for (EngineStandIn engine : engines) {
            if (engine.reader == readers && random.nextDouble() < share && busy.add(engine)) hit.add(engine);
        }
        try {
            for (EngineStandIn engine : hit) what.befall(engine);
            TimeUnit.MILLISECONDS.sleep(forMs);
        } finally {
            for (EngineStandIn engine : hit) after.befall(engine);
            busy.removeAll(hit);
        }
    }

    /** Does something to gateways one after another, passing over those to which something else is being done. */
    void withGatewaysInTurn(int most, Trouble.GatewayTrouble what) throws Exception {
        for (GatewayProcess gateway : gateways.subList(0, Math.min(most, gateways.size()))) {
            if (!busy.add(gateway)) continue;
            try {
                what.befall(gateway);
            } finally {
                busy.remove(gateway);
            }
        }
    }

    /** Has a request sent on each of these connections to a gateway, and its answer judged like any other. */
    void askAtOnce(GatewayProcess gateway, List<Socket> crowd) {
        LoadClients asking = clients.get(gateways.indexOf(gateway));
        for (Socket socket : crowd) Daemon.start("crowd", () -> asking.ask(socket));
    }

    List<DiscoveryAgent> agents() {
        return gateways.stream().map(GatewayProcess::agent).toList();
    }

    /** Lines of the gateways' own rule checks. */
    long ownBreaches() throws IOException {
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
