package maplerail.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import maplerail.support.StandIn;
import maplerail.support.StandIn.Exchange;

/** A reader or writer behind its own proxy. It serves as the protocol page says, or misbehaves as configured. */
final class EngineStandIn implements AutoCloseable {
    /**
     * How the engine treats requests. The process of a STOPPED engine does not run, while its operating system still
     * accepts connections and bytes for it. The connections of a reader that LOSES_READS fall silent in the middle of
     * their reads, and the reads go on. The streams of a writer that SPOILS become spoilt behind some sound events, and
     * bytes keep coming. Writes wait at a FULL writer for room, until their connection is closed or their deadline is over.
     */
    enum Behaviour {
        HEALTHY, HANGS, FAILS, RESETS, SLOW, DECLINES, STOPPED, LOSES_READS, SPOILS, FULL
    }

    /** What follows the sound events of a spoilt stream: a text, and another one again and again. */
    private record Spoil(String begin, String rest) {}

    private static final List<Spoil> SPOILS = List.of(new Spoil("", "0"), new Spoil("1f;", "x"),
            new Spoil("400\r\n", " "), new Spoil("400\r\ndata: 1\n\n\r\n", "9\r\ndata: 1\n\n\r\n"),
            new Spoil("4000\r\n", "noise ".repeat(500)), new Spoil("c0000000\r\n", "data: 1\n\n"),
            new Spoil("3\r\n: x", " "), new Spoil("0\r\n", "X-A: b\r\n"), new Spoil("", "5\r\n: x\n\n\r\n"),
            new Spoil("e\r\ndata: [DONE]\n\n\r\n", "5\r\n: x\n\n\r\n"));
    private static final int SPOIL_INTERVAL_MS = 250;

    private static final int READ_MS = 60;
    private static final int STOPPED_POLL_MS = 5;
    private static final int EVENT_COUNT = 6;
    private static final int EVENT_INTERVAL_MS = 40;
    private static final int SLOW_FACTOR = 8;
    private static final double LONG_AGO_MS = 1e6;

    final String host;
    final boolean reader;
    final Ledger.Location location;
    final FaultProxy proxy;
    private final Ledger ledger;
    private final SoakSettings settings;
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private StandIn server;
    private double startedMs = Ledger.nowMs() - LONG_AGO_MS;
    private volatile Behaviour behaviour = Behaviour.HEALTHY;
    private volatile int incarnation;
    private boolean overloadReported;
    /** Unix time of the last start in milliseconds, as published in the list; 0 for long ago. */
    volatile long bornMs;
    volatile String health = "in_service";

    EngineStandIn(String host, boolean reader, Ledger.Location location, Ledger ledger, SoakSettings settings)
            throws IOException {
        this.host = host;
        this.reader = reader;
        this.location = location;
        this.ledger = ledger;
        this.settings = settings;
        server = new StandIn(this::handle);
        proxy = new FaultProxy(server.socketAddress(), new FaultProxy.Listener() {
            @Override
            public void closedByGateway(int connection) {
                ledger.connectionClosed(connection);
            }

            @Override
            public void disturbed(int connection) {
                ledger.connectionDisturbed(connection);
            }
        });
    }

    InetSocketAddress address() {
        return proxy.address();
    }

    void setBehaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Stops the engine: all held states are lost, and connections are refused. */
    void kill() throws IOException {
        incarnation++;
        proxy.setRefusing(true);
        server.close();
        proxy.resetConnections();
        ledger.engineDied(host);
    }

    /** Restarts the engine, which is cold again. */
    void start() throws IOException {
        server = new StandIn(this::handle);
        proxy.setTarget(server.socketAddress());
        proxy.setRefusing(false);
        behaviour = Behaviour.HEALTHY;
        synchronized (arrivals) {
            arrivals.clear();
            startedMs = Ledger.nowMs();
            overloadReported = false;
        }
        bornMs = System.currentTimeMillis();
    }

    private void handle(Exchange exchange) throws Exception {
        // A request whose connection was closed while the engine was stopped needs no answer.
        if (waitedWhileStopped() && exchange.isClosedByPeer()) return;
        if (exchange.method.equals("DELETE")) {
            String[] parts = exchange.target.split("/");
            ledger.stateReleased(parts[parts.length - 1]);
            if (behaviour != Behaviour.HANGS) exchange.reply(204, "");
            return;
        }
        int ownIncarnation = incarnation;
        double forwardedDeadlineMs = 1_000 * Double.parseDouble(exchange.headers.getOrDefault("req-deadline", "0"));
        Ledger.Attempt attempt = ledger.attemptBegan(exchange.headers.getOrDefault("req-id", "none"), host, reader,
                exchange.firstByteMs, forwardedDeadlineMs, exchange.connection(), proxy.isDelaying());
        if (attempt == null) {
            exchange.reply(400, "");
            return;
        }
        countArrival();
        switch (behaviour) {
            case HANGS -> {
                exchange.awaitClose();
                return;
            }
            case FAILS -> {
                ledger.attemptEnded(attempt, "500", false);
                exchange.reply(500, "");
                return;
            }
            case RESETS -> {
                ledger.attemptEnded(attempt, "reset", false);
                exchange.reset();
                return;
            }
            case DECLINES -> {
                ledger.attemptEnded(attempt, "503 declined", true);
                exchange.reply(503, "", "Srv-Declined: 1");
                return;
            }
            default -> {
                int slowdown = behaviour == Behaviour.SLOW ? SLOW_FACTOR : 1;
                if (reader) serveRead(exchange, attempt, ownIncarnation, slowdown);
                else
                    if (findsRoom(exchange, attempt, ownIncarnation, forwardedDeadlineMs))
                        serveWrite(exchange, attempt, ownIncarnation, slowdown);
            }
        }
    }

    /** Waits while the engine is stopped; true if it was. */
    private boolean waitedWhileStopped() throws InterruptedException {
        if (behaviour != Behaviour.STOPPED) return false;
        while (behaviour == Behaviour.STOPPED) Thread.sleep(STOPPED_POLL_MS);
        return true;
    }

    private static int jitter(int ms) {
        return ms / 2 + ThreadLocalRandom.current().nextInt(ms);
    }

    private void serveRead(Exchange exchange, Ledger.Attempt attempt, int ownIncarnation, int slowdown)
            throws Exception {
        int halfMs = slowdown * jitter(READ_MS) / 2;
        Thread.sleep(halfMs);
        if (behaviour == Behaviour.LOSES_READS) proxy.silence(exchange.connection());
        Thread.sleep(halfMs);
        waitedWhileStopped();
        if (ownIncarnation != incarnation) return;
        // The state is held even if the gateway has abandoned the read: the reader may not have noticed.
        ledger.stateHeld(attempt.request, host);
        ledger.attemptEnded(attempt, "202", true);
        exchange.reply(202, "{\"cached_tokens\":0}");
    }

    /** Waits for room while the state of a write stays at its reader; false if the write is dropped before there is any. */
    private boolean findsRoom(Exchange exchange, Ledger.Attempt attempt, int ownIncarnation, double deadlineMs)
            throws IOException {
        if (behaviour != Behaviour.FULL) return true;
        double untilMs = Ledger.nowMs() + deadlineMs;
        boolean dropped = false;
        ledger.writeWaits(attempt.request);
        while (behaviour == Behaviour.FULL && !dropped)
            dropped = exchange.isClosedByPeer() || Ledger.nowMs() >= untilMs || ownIncarnation != incarnation;
        ledger.writeWaitEnded(attempt.request);
        if (dropped) ledger.attemptEnded(attempt, "dropped while it waits", true);
        return !dropped;
    }

    private void serveWrite(Exchange exchange, Ledger.Attempt attempt, int ownIncarnation, int slowdown)
            throws Exception {
        if (!ledger.stateTaken(attempt.request, host)) {
            ledger.attemptEnded(attempt, "410 declined", true);
            exchange.reply(410, "", "Srv-Declined: 1");
            return;
        }
        Thread.sleep((long) slowdown * jitter(settings.firstTokenMs));
        exchange.startStream();
        boolean spoils = behaviour == Behaviour.SPOILS;
        int eventCount = spoils ? ThreadLocalRandom.current().nextInt(1, EVENT_COUNT) : EVENT_COUNT;
        for (int i = 0; i < eventCount && ownIncarnation == incarnation; i++) {
            String event = String.format(Locale.ROOT, "data: {\"at\":\"%s\",\"n\":%d}\n\n", host, i);
            ledger.streamed(attempt, event, false);
            exchange.chunk(event);
            Thread.sleep((long) slowdown * jitter(EVENT_INTERVAL_MS));
        }
        if (ownIncarnation != incarnation) return;
        if (spoils) {
            spoil(exchange, attempt, ownIncarnation);
            return;
        }
        String done = "data: [DONE]\n\n";
        ledger.streamed(attempt, done, false);
        exchange.chunk(done);
        exchange.endStream();
        ledger.streamed(attempt, "", true);
        ledger.attemptEnded(attempt, "whole stream", false);
    }

    private void spoil(Exchange exchange, Ledger.Attempt attempt, int ownIncarnation) throws Exception {
        ledger.spoilt(attempt);
        Spoil form = SPOILS.get(ThreadLocalRandom.current().nextInt(SPOILS.size()));
        exchange.write(form.begin());
        while (ownIncarnation == incarnation && !exchange.isClosedByPeer()) {
            Thread.sleep(SPOIL_INTERVAL_MS);
            exchange.write(form.rest());
        }
    }

    /**
     * Counts an arrival, and reports a breach if a cold engine got more requests within the overload window than its
     * true age allows.
     */
    private void countArrival() {
        synchronized (arrivals) {
            double now = Ledger.nowMs();
            arrivals.addLast(now);
            while (arrivals.peekFirst() < now - settings.overloadForMs) arrivals.pollFirst();
            double age = (now - startedMs) / settings.warmAfterMs;
            if (age >= 1 || overloadReported) return;
            double share = settings.startCapacity + (1 - settings.startCapacity) * age;
            double allowed = settings.tipMultiple * share * settings.engineRequestsPerS * settings.overloadForMs
                    / 1_000;
            double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            if (arrivals.size() <= allowed + slack) return;
            overloadReported = true;
            ledger.recordBreach(Ledger.Rule.COLD_OVERLOAD, null, String.format(Locale.ROOT,
                    "%s, started %.0f ms ago, got %d requests; %.1f are allowed", host, now - startedMs,
                    arrivals.size(), allowed + slack));
        }
    }

    String toJson() {
        return String.format(Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"%s\",\"class\":\"%s\",\"block\":%d,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                host, address().getHostString(), address().getPort(), location.zone(),
                reader ? "prefill" : "decode", location.cell(), health, bornMs);
    }

    @Override
    public void close() throws IOException {
        incarnation++;
        server.close();
        proxy.close();
    }
}
