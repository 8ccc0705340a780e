package maplerail.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import maplerail.support.StandIn;
import maplerail.support.StandIn.Exchange;

/** One reader or writer behind its own proxy: serves as the protocol page says, or misbehaves as it is told. */
final class EngineStandIn implements AutoCloseable {
    /**
     * How it treats requests. One that is STOPPED does not run: its system takes connections and bytes for it. The
     * connections of a reader that LOSES_READS fall silent in the middle of their reads, which go on.
     */
    enum Behaviour {
        SOUND, HANGS, FAILS, RESETS, SLOW, TURNS_AWAY, STOPPED, LOSES_READS
    }

    private static final int READ_MS = 60;
    private static final int STOPPED_LOOK_MS = 5;
    private static final int EVENTS = 6;
    private static final int EVENT_MS = 40;
    private static final int SLOW_FACTOR = 8;
    private static final double LONG_AGO_MS = 1e6;

    final String host;
    final boolean reader;
    final Ledger.Place place;
    final FaultProxy proxy;
    private final Ledger ledger;
    private final SoakSettings settings;
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private StandIn server;
    private double startedMs = Ledger.nowMs() - LONG_AGO_MS;
    private volatile Behaviour behaviour = Behaviour.SOUND;
    private volatile int life;
    private boolean overloadTold;
    /** As in the list: Unix time of the last start, 0 for long ago. */
    volatile long bornMs;
    volatile String health = "in_service";

    EngineStandIn(String host, boolean reader, Ledger.Place place, Ledger ledger, SoakSettings settings)
            throws IOException {
        this.host = host;
        this.reader = reader;
        this.place = place;
        this.ledger = ledger;
        this.settings = settings;
        server = new StandIn(this::handle);
        proxy = new FaultProxy(server.socketAddress(), new FaultProxy.Listener() {
            @Override
            public void givenUp(int connection) {
                ledger.connectionGivenUp(connection);
            }

            @Override
            public void silenced(int connection) {
                ledger.connectionDisturbed(connection);
            }
        });
    }

    InetSocketAddress address() {
        return proxy.address();
    }

    void behave(Behaviour how) {
        behaviour = how;
    }

    /** Dies with all that it holds, and refuses connections. */
    void kill() throws IOException {
        life++;
        proxy.refuse(true);
        server.close();
        proxy.reset();
        ledger.died(host);
    }

    /** Comes back cold. */
    void start() throws IOException {
        server = new StandIn(this::handle);
        proxy.target(server.socketAddress());
        proxy.refuse(false);
        behaviour = Behaviour.SOUND;
        synchronized (arrivals) {
            arrivals.clear();
            startedMs = Ledger.nowMs();
            overloadTold = false;
        }
        bornMs = System.currentTimeMillis();
    }

    private void handle(Exchange exchange) throws Exception {
        // What came before its end was given up meanwhile reaches nobody.
        if (waitedWhileStopped() && exchange.isEnded()) return;
        if (exchange.method.equals("DELETE")) {
            String[] parts = exchange.target.split("/");
            ledger.released(parts[parts.length - 1]);
            if (behaviour != Behaviour.HANGS) exchange.reply(204, "");
            return;
        }
        int mine = life;
        double toldMs = 1_000 * Double.parseDouble(exchange.headers.getOrDefault("req-deadline", "0"));
        Ledger.Attempt attempt = ledger.began(exchange.headers.getOrDefault("req-id", "none"), host, reader,
                exchange.firstByteMs, toldMs, exchange.connection(), proxy.delays());
        if (attempt == null) {
            exchange.reply(400, "");
            return;
        }
        countArrival();
        switch (behaviour) {
            case HANGS -> {
                exchange.awaitEnd();
                return;
            }
            case FAILS -> {
                ledger.ended(attempt, "500", false);
                exchange.reply(500, "");
                return;
            }
            case RESETS -> {
                ledger.ended(attempt, "reset", false);
                exchange.reset();
                return;
            }
            case TURNS_AWAY -> {
                ledger.ended(attempt, "503 declined", true);
                exchange.reply(503, "", "Srv-Declined: 1");
                return;
            }
            default -> {
                int factor = behaviour == Behaviour.SLOW ? SLOW_FACTOR : 1;
                if (reader) read(exchange, attempt, mine, factor);
                else write(exchange, attempt, mine, factor);
            }
        }
    }

    /** True if it was stopped, and runs again now. */
    private boolean waitedWhileStopped() throws InterruptedException {
        if (behaviour != Behaviour.STOPPED) return false;
        while (behaviour == Behaviour.STOPPED) Thread.sleep(STOPPED_LOOK_MS);
        return true;
    }

    private static int around(int ms) {
        return ms / 2 + ThreadLocalRandom.current().nextInt(ms);
    }

    private void read(Exchange exchange, Ledger.Attempt attempt, int mine, int factor) throws Exception {
        int halfMs = factor * around(READ_MS) / 2;
        Thread.sleep(halfMs);
        if (behaviour == Behaviour.LOSES_READS) proxy.silence(exchange.connection());
        Thread.sleep(halfMs);
        waitedWhileStopped();
        if (mine != life) return;
        // Also a read that its gateway gave up meanwhile is held: the reader may not have noticed.
        ledger.held(attempt.request, host);
        ledger.ended(attempt, "202", true);
        exchange.reply(202, "{\"cached_tokens\":0}");
    }

    private void write(Exchange exchange, Ledger.Attempt attempt, int mine, int factor) throws Exception {
        if (!ledger.taken(attempt.request, host)) {
            ledger.ended(attempt, "410 declined", true);
            exchange.reply(410, "", "Srv-Declined: 1");
            return;
        }
        Thread.sleep((long) factor * around(settings.firstTokenMs));
        exchange.stream();
        for (int i = 0; i < EVENTS && mine == life; i++) {
            String event = String.format(Locale.ROOT, "data: {\"at\":\"%s\",\"n\":%d}\n\n", host, i);
            ledger.streamed(attempt, event, false);
            exchange.chunk(event);
            Thread.sleep((long) factor * around(EVENT_MS));
        }
        if (mine != life) return;
        String done = "data: [DONE]\n\n";
        ledger.streamed(attempt, done, false);
        exchange.chunk(done);
        exchange.last();
        ledger.streamed(attempt, "", true);
        ledger.ended(attempt, "whole stream", false);
    }

    /** The budget of a cold engine over the window that the settings name, by its true age. */
    private void countArrival() {
        synchronized (arrivals) {
            double now = Ledger.nowMs();
            arrivals.addLast(now);
            while (arrivals.peekFirst() < now - settings.overloadForMs) arrivals.pollFirst();
            double age = (now - startedMs) / settings.warmAfterMs;
            if (age >= 1 || overloadTold) return;
            double share = settings.startCapacity + (1 - settings.startCapacity) * age;
            double allowed = settings.tipMultiple * share * settings.engineRequestsPerS * settings.overloadForMs
                    / 1_000;
            double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            if (arrivals.size() <= allowed + slack) return;
            overloadTold = true;
            ledger.breach(Ledger.Rule.COLD_OVERLOAD, null, String.format(Locale.ROOT,
                    "%s of age %.0f ms got %d requests, allowed %.1f", host, now - startedMs, arrivals.size(),
                    allowed + slack));
        }
    }

    String listed() {
        return String.format(Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"%s\",\"class\":\"%s\",\"block\":%d,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                host, address().getHostString(), address().getPort(), place.zone(),
                reader ? "prefill" : "decode", place.cell(), health, bornMs);
    }

    @Override
    public void close() throws IOException {
        life++;
        server.close();
        proxy.close();
    }
}
