import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send long prompts, within the size that the protocol allows, and their traffic jumps for some seconds.
 * Rule: each request gets its final answer, half a second after its time at the latest, and no stream is cut while its
 * engine writes.
 */
final class LongPrompts implements RunCase.Case {
    private static final int PROMPT_TOKENS = 61_000; // under max_context of the new deployment, 61,671
    private static final int BODY_BYTES = 4 * PROMPT_TOKENS; // one token is four characters; 256 KiB are allowed
    private static final double RATE_PER_S = 16; // of 22 a second at 2 or 3 gateways: one that sees more than the others
    private static final double BURST_FACTOR = 2.5; // BRIEF 7.1
    private static final double[] BURST_STARTS_MS = {8_000, 26_000, 44_000, 62_000};
    private static final double BURST_MS = 8_900; // BRIEF 7.1
    private static final double END_MS = 74_000;
    private static final double DEADLINE_MS = 4_000; // long prompts may wait 6.3 s, a try 50 to 100% of that
    private static final double LATE_MS = 500; // by STANDING: later than that, a request is lost
    private static final double OWN_SLACK_MS = 100; // for the threads of this test
    private static final int PATIENCE_MS = 6_000; // after which a request counts as never answered
    private static final int STREAM_PATIENCE_MS = 6_000; // without a further event; PROTOCOL allows 5 s
    private static final int MAX_OPEN = 341; // of 1,024 descriptors, clients hold at most a third for requests
    private static final int EVENTS = 36;
    private static final double EVENT_INTERVAL_MS = 168; // an event every few tokens; streams of 6 s

    /** The classes and engines of the new deployment. */
    private static final class NewDeployment extends Rig.Settings {
        NewDeployment() {
            sockets = 1_024;
            aimUsPer1000Tokens = "[19000.0,19000.0]";
            memoryTokens = "[1730000,2720000]";
        }

        @Override
        String lanes() {
            return lane("ask", DEADLINE_MS, 500, "pure", "all", 5_000, 2) + ","
                    + lane("book", DEADLINE_MS, 500, "side_effect", "all", 5_000, 6);
        }
    }

    private static boolean isBurst(double atMs) {
        return Arrays.stream(BURST_STARTS_MS).anyMatch(start -> atMs >= start && atMs < start + BURST_MS);
    }

    @Override
    public boolean run(Rig rig) throws Exception {
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("r" + i, true, i % 2));
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("w" + i, false, i % 2));
        for (Rig.Engine engine : engines) {
            engine.readMs = 300;
            engine.firstTokenMs = 100;
            engine.events = EVENTS;
            engine.tokenMs = EVENT_INTERVAL_MS;
        }
        Rig.Gateway gateway = rig.new Gateway("n0", new NewDeployment(), rig.new Agent(engines));
        String body = "{\"content\":\"" + "a".repeat(BODY_BYTES - 14) + "\"}";

        List<Rig.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        AtomicInteger open = new AtomicInteger();
        double startMs = Rig.now();
        for (double atMs = 0; atMs < END_MS; atMs = Rig.now() - startMs) {
            boolean burst = Rig.TROUBLE && isBurst(atMs);
            Rig.sleep(1_000 / (burst ? BURST_FACTOR * RATE_PER_S : RATE_PER_S));
            if (open.get() >= MAX_OPEN) continue;
            open.incrementAndGet();
            String id = String.format("50000000%08x", clients.size() + 1);
            String request = Rig.request(id, clients.size() % 2 == 0 ? "book" : "ask", DEADLINE_MS / 1_000, body);
            clients.add(Rig.start("client", () -> {
                answers.add(ask(rig, gateway.port, id, request));
                open.decrementAndGet();
            }));
        }
        for (Thread client : clients) client.join(PATIENCE_MS + 3 * STREAM_PATIENCE_MS);

        long served = answers.stream().filter(a -> a.whole && a.status == 200).count();
        long refused = answers.stream().filter(a -> a.status == 503).count();
        long never = clients.size() - answers.stream().filter(Rig.Answer::answered).count();
        long late = answers.stream().filter(Rig.Answer::answered)
                .filter(a -> a.status != 200 && a.endedMs - a.sentMs > DEADLINE_MS + LATE_MS + OWN_SLACK_MS).count();
        long cut = answers.stream().filter(a -> a.status == 200 && !a.whole).count();
        boolean alive = gateway.process.isAlive();
        gateway.noteLog(60);
        String summary = String.format("%d requests of usual clients: %d served, %d refused, %d answered too late, "
                + "%d never answered, %d streams cut or left; gateway process runs: %s", clients.size(), served, refused,
                late, never, cut, alive);
        rig.note("%s", summary);
        System.out.println(summary);
        return late > 0 || never > 0 || cut > 0 || !alive;
    }

    /** Sends a request on a new connection and reads the answer, unless nothing comes for too long. */
    private static Rig.Answer ask(Rig rig, int port, String id, String request) {
        Rig.Answer answer = new Rig.Answer();
        answer.id = id;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            answer.sentMs = Rig.now();
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            rig.note("client sends %s", id);
            StringBuilder text = new StringBuilder();
            byte[] bytes = new byte[8_192];
            while (!answer.whole) {
                int count = socket.getInputStream().read(bytes);
                if (count < 0) throw new EOFException("closed");
                text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
                if (answer.status == 0) answer.status = Integer.parseInt(text.substring(9, 12));
                answer.whole = answer.status != 200 || text.indexOf("\r\n0\r\n\r\n") >= 0;
                socket.setSoTimeout(STREAM_PATIENCE_MS);
            }
            answer.end = "ended";
        } catch (IOException e) {
            answer.end = String.valueOf(e.getMessage());
        }
        answer.endedMs = Rig.now();
        rig.note("client has %s", answer);
        return answer;
    }
}
