import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients make hundreds of connections, begin a request on each and stop there, and come again when they are turned
 * away. Beside them usual clients ask. Rule: each request of a usual client gets its final answer, half a second after
 * its time at the latest.
 */
final class Crowd implements RunCase.Case {
    private static final int BAD_CONNECTIONS = 500;
    private static final int SOCKETS = 256;
    private static final byte[] BEGUN = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Kind: quo"
            .getBytes(StandardCharsets.US_ASCII);
    private static final double TROUBLE_MS = 12_000;
    private static final int REQUESTS = 240;
    private static final int REQUESTS_BEFORE = 70; // by then as many streams run as end
    private static final double INTERVAL_MS = 100; // 10 requests a second
    private static final double LATE_MS = 500; // by STANDING: later than that, a request is lost
    private static final double OWN_SLACK_MS = 100; // for the threads of this test
    private static final int PATIENCE_MS = 8_000; // after which a request counts as never answered
    private static final int STREAM_PATIENCE_MS = 20_000; // for the rest of a stream
    private static final int EVENT_INTERVAL_MS = 100;

    private final AtomicInteger tries = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();

    /** The classes of the site hasty. */
    private static final class HastySettings extends Rig.Settings {
        HastySettings() {
            sockets = SOCKETS;
            connIdleMs = 6_000;
            pinLimitMs = 250;
            connectTimeoutMs = 120;
            maxAttempts = 3;
        }

        @Override
        String lanes() {
            return lane("quote", 1_200, 400, "side_effect", "all", 600, 3) + ","
                    + lane("lookup", 1_000, 350, "token", "all", 600, 1);
        }
    }

    @Override
    public boolean run(Rig rig) throws Exception {
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("r" + i, true, i % 2));
        for (int i = 0; i < 5; i++) {
            engines.add(rig.new Engine("w" + i, false, i % 2) {
                @Override
                void stream(Rig.Connection connection, String id) throws Exception {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
                    int count = isLookup(id) ? 90 : 30; // streams of 9 s and of 3 s
                    for (int k = 0; k < count; k++) {
                        connection.chunk(Rig.event(name, id, k));
                        Rig.sleep(EVENT_INTERVAL_MS);
                    }
                    connection.chunk("data: [DONE]\n\n");
                    connection.write("0\r\n\r\n");
                }
            });
        }
        Rig.Gateway gateway = rig.new Gateway("n0", new HastySettings(), rig.new Agent(engines));

        Map<String, Double> answeredAfterMs = new ConcurrentHashMap<>();
        Map<String, Double> budgetsMs = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= REQUESTS; i++) {
            String id = String.format("50000000%08x", i);
            double share = 0.5 + i * 7 % 13 / 24.0; // of the class's time, as in BRIEF 3.2
            double budgetMs = share * (isLookup(id) ? 1_000 : 1_200);
            budgetsMs.put(id, budgetMs);
            clients.add(Rig.start("client", () -> ask(rig, gateway.port, id, budgetMs, answeredAfterMs)));
            Rig.sleep(INTERVAL_MS);
            if (i != REQUESTS_BEFORE || !Rig.TROUBLE) continue;
            rig.note("%d bad connections come for %.0f ms", BAD_CONNECTIONS, TROUBLE_MS);
            Rig.start("bad clients", () -> beBad(gateway.port, Rig.now() + TROUBLE_MS));
        }
        for (Thread client : clients) client.join(STREAM_PATIENCE_MS + PATIENCE_MS);

        long never = REQUESTS - answeredAfterMs.size();
        long late = answeredAfterMs.entrySet().stream()
                .filter(e -> e.getValue() > budgetsMs.get(e.getKey()) + LATE_MS + OWN_SLACK_MS).count();
        double longestMs = answeredAfterMs.values().stream().mapToDouble(ms -> ms).max().orElse(0);
        boolean alive = gateway.process.isAlive();
        gateway.noteLog(40);
        rig.note("bad clients: %d tries, %d turned away", tries.get(), turnedAway.get());
        rig.note("%d requests of usual clients: %d answered too late, %d never, longest %.0f ms; gateway runs: %s", REQUESTS,
                late, never, longestMs, alive);
        System.out.printf("%d requests: late %d, never %d, longest %.0f ms, gateway runs: %s%n", REQUESTS, late, never,
                longestMs, alive);
        return late > 0 || never > 0 || !alive;
    }

    private static boolean isLookup(String id) {
        return Integer.parseInt(id.substring(8), 16) % 2 == 1;
    }

    /** Sends a request on a new connection, notes when the answer begins, and reads the answer to its end. */
    private static void ask(Rig rig, int port, String id, double budgetMs, Map<String, Double> answeredAfterMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), PATIENCE_MS);
            String request = Rig.request(id, isLookup(id) ? "lookup" : "quote", budgetMs / 1_000, Rig.BODY);
            double sentMs = Rig.now();
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            rig.note("client sends %s with %.0f ms", id, budgetMs);
            socket.setSoTimeout(PATIENCE_MS);
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[8_192];
            int count = in.read(bytes);
            if (count < 0) throw new EOFException("closed without an answer");
            double afterMs = Rig.now() - sentMs;
            answeredAfterMs.put(id, afterMs);
            rig.note("client has the answer to %s after %.0f of %.0f ms: %s%s", id, afterMs, budgetMs,
                    new String(bytes, 0, Math.min(count, 12), StandardCharsets.ISO_8859_1),
                    afterMs > budgetMs + LATE_MS + OWN_SLACK_MS ? ", TOO LATE" : "");
            double untilMs = Rig.now() + STREAM_PATIENCE_MS;
            while (count >= 0 && Rig.now() < untilMs && !endsAnswer(bytes, count)) count = in.read(bytes);
        } catch (IOException e) {
            rig.note("client of %s: %s", id, e);
        }
    }

    /** Whether these bytes end with the last chunk, or are an answer without chunks. */
    private static boolean endsAnswer(byte[] bytes, int count) {
        String text = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
        return text.endsWith("\r\n0\r\n\r\n") || text.startsWith("HTTP/1.1 ") && !text.startsWith("HTTP/1.1 200");
    }

    private void beBad(int port, double untilMs) throws IOException {
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < BAD_CONNECTIONS; i++) connect(selector, port);
            ByteBuffer received = ByteBuffer.allocate(8_192);
            while (Rig.now() < untilMs) {
                selector.select(20);
                int ended = 0;
                for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext();) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    SocketChannel channel = (SocketChannel) key.channel();
                    try {
                        if (key.isConnectable()) {
                            channel.finishConnect();
                            channel.write(ByteBuffer.wrap(BEGUN));
                            key.interestOps(SelectionKey.OP_READ);
                        } else if (channel.read(received.clear()) < 0) {
                            throw new EOFException();
                        }
                    } catch (IOException e) {
                        turnedAway.incrementAndGet();
                        channel.close();
                        ended++;
                    }
                }
                for (int i = 0; i < ended; i++) connect(selector, port);
            }
            for (SelectionKey key : selector.keys()) key.channel().close();
        }
    }

    private void connect(Selector selector, int port) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress("127.0.0.1", port));
        channel.register(selector, SelectionKey.OP_CONNECT);
        tries.incrementAndGet();
    }
}
