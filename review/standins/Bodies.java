import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send the first part of a 60 MB body and stop there, and come again when they are turned away. Beside them
 * usual clients ask. Rule: each request of a usual client gets its final answer, half a second after its time at the
 * latest.
 */
final class Bodies implements RunCase.Case {
    private static final int BAD_CLIENTS = 300; // under a third of the 1,024 descriptors
    private static final int SOCKETS = 1_024;
    private static final int BODY_BYTES = 60_000_000;
    private static final int SENT_BYTES = 1_000_000;
    private static final double TROUBLE_MS = 6_000;
    private static final int REQUESTS = 120;
    private static final double INTERVAL_MS = 90; // 11 requests a second
    private static final double DEADLINE_MS = 4_000;
    private static final double LATE_MS = 500; // by STANDING: later than that, a request is lost
    private static final double OWN_SLACK_MS = 100; // for the threads of this test

    @Override
    public boolean run(Rig rig) throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.deadlineMs = DEADLINE_MS;
        settings.sockets = SOCKETS;
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("r" + i, true, i % 2));
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("w" + i, false, i % 2));
        Rig.Gateway gateway = rig.new Gateway("n0", settings, rig.new Agent(engines));
        rig.ask(gateway.port, "5000000000000000", "ask", DEADLINE_MS / 1_000, Rig.BODY, 10_000);

        List<Rig.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        AtomicInteger tries = new AtomicInteger();
        for (int i = 1; i <= REQUESTS; i++) {
            String id = String.format("50000000%08x", i);
            String kind = i % 2 == 0 ? "ask" : "book";
            clients.add(Rig.start("client", () -> answers.add(rig.ask(gateway.port, id, kind, DEADLINE_MS / 1_000,
                    Rig.BODY, 12_000))));
            Rig.sleep(INTERVAL_MS);
            if (i != 20 || !Rig.TROUBLE) continue;
            rig.note("%d bad clients come: each sends %d bytes of a body of %d and stops", BAD_CLIENTS, SENT_BYTES,
                    BODY_BYTES);
            double untilMs = Rig.now() + TROUBLE_MS;
            for (int b = 0; b < BAD_CLIENTS; b++) {
                Rig.start("bad client", () -> {
                    while (Rig.now() < untilMs) beBad(rig, gateway.port, tries.incrementAndGet());
                });
            }
        }
        for (Thread client : clients) client.join(14_000);
        boolean alive = gateway.process.isAlive();
        long late = answers.stream().filter(Rig.Answer::answered)
                .filter(a -> a.status != 200 && a.endedMs - a.sentMs > DEADLINE_MS + LATE_MS + OWN_SLACK_MS).count();
        long never = REQUESTS - answers.stream().filter(Rig.Answer::answered).count();
        double longestMs = answers.stream().mapToDouble(a -> a.endedMs - a.sentMs).max().orElse(0);
        gateway.noteLog(60);
        rig.note("%d requests of usual clients: %d answered too late, %d not answered within 12 s, longest %.0f ms; "
                + "%d tries of bad clients; gateway runs: %s", REQUESTS, late, never, longestMs, tries.get(), alive);
        System.out.printf("late %d, never %d, longest %.0f ms, gateway runs: %s%n", late, never, longestMs, alive);
        return late > 0 || never > 0 || !alive;
    }

    private static void beBad(Rig rig, int port, int number) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 12_000);
            socket.setSoTimeout(12_000);
            double startMs = Rig.now();
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: "
                    + String.format("bad0000000%06x", number) + "\r\nReq-Kind: ask\r\nReq-Key: 1\r\n"
                    + "Req-Deadline: 4.000\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY_BYTES)
                    + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[SENT_BYTES]);
            int count = socket.getInputStream().read(new byte[100]);
            rig.note("bad client %d is turned away after %.0f ms (%d bytes)", number, Rig.now() - startMs, count);
        } catch (IOException e) {
            rig.note("bad client %d: %s", number, e);
            Rig.sleep(20);
        }
    }
}
