import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients send several requests at once, each client on one connection; then the gateway gets SIGTERM while the first
 * answers are under way. Rule: a request that was taken gets its final answer, and the gateway does not end its
 * connection without one.
 */
final class Pipeline implements RunCase.Case {
    private static final int CLIENTS = 6;
    private static final int REQUESTS_AT_ONCE = 5;
    private static final double DEADLINE_MS = 4_000;
    private static final double TERM_AFTER_MS = 500; // after the last byte of all requests
    private static final double LATE_MS = 500;
    private static final double KILL_AFTER_MS = 3_700; // PROTOCOL: the longest deadline, counted as 3 s, plus 0.7 s
    private static final int LONG_ANSWER_EVENTS = 30;
    private static final double LONG_ANSWER_TOKEN_MS = 45;

    /** Answers the first request of each client for more than a second, all others in less than 0.2 s. */
    private static final class Writer extends Engine0 {
        Writer(Rig rig, String name, int cell) throws IOException {
            super(rig, name, cell);
        }

        @Override
        void stream(Rig.Connection connection, String id) throws Exception {
            boolean first = id.endsWith("00");
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < (first ? LONG_ANSWER_EVENTS : 4); i++) {
                connection.chunk(Rig.event(name, id, i));
                Rig.sleep(first ? LONG_ANSWER_TOKEN_MS : 20);
            }
            connection.chunk("data: [DONE]\n\n");
            connection.write("0\r\n\r\n");
            own.note("%s has written the whole stream of %s", name, id);
        }
    }

    private static class Engine0 extends Rig.Engine {
        final Rig own;

        Engine0(Rig rig, String name, int cell) throws IOException {
            rig.super(name, false, cell);
            own = rig;
        }
    }

    @Override
    public boolean run(Rig rig) throws Exception {
        Rig.Settings settings = new Rig.Settings();
        settings.deadlineMs = DEADLINE_MS;
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) engines.add(rig.new Engine("r" + i, true, i % 2));
        for (int i = 0; i < 5; i++) engines.add(new Writer(rig, "w" + i, i % 2));
        Rig.Gateway gateway = rig.new Gateway("n0", settings, rig.new Agent(engines));
        for (int i = 1; i <= 10; i++)
            rig.ask(gateway.port, String.format("7000000000%04x01", i), "ask", DEADLINE_MS / 1_000, Rig.BODY, 10_000);

        List<Rig.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            int number = i;
            clients.add(Rig.start("client", () -> sendAtOnce(rig, gateway.port, number, answers)));
        }
        Rig.sleep(TERM_AFTER_MS);
        double termMs = Rig.now();
        if (Rig.TROUBLE) gateway.signal("TERM");
        for (Thread client : clients) client.join(10_000);
        Rig.sleep(termMs + KILL_AFTER_MS - Rig.now());
        gateway.close();
        gateway.noteLog(30);
        long unanswered = answers.stream().filter(a -> !a.answered()).count();
        long late = answers.stream().filter(Rig.Answer::answered)
                .filter(a -> a.status != 200 && a.endedMs - a.sentMs > DEADLINE_MS + LATE_MS).count();
        String summary = String.format("%d requests, all sent %.0f ms before SIGTERM or earlier: %d got no answer and "
                + "lost their connection, %d were answered too late", answers.size(), TERM_AFTER_MS - 100, unanswered,
                late);
        rig.note("%s", summary);
        System.out.println(summary);
        if (answers.size() != CLIENTS * REQUESTS_AT_ONCE) throw new IOException("requests are missing");
        return unanswered > 0 || late > 0;
    }

    private static void sendAtOnce(Rig rig, int port, int client, List<Rig.Answer> answers) throws IOException {
        List<Rig.Answer> own = new ArrayList<>();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            Rig.Answer answer = new Rig.Answer();
            answer.id = String.format("6000000000%04x%02x", client, i);
            own.add(answer);
            all.append(Rig.request(answer.id, "ask", DEADLINE_MS / 1_000, Rig.BODY));
        }
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            double sentMs = Rig.now();
            socket.getOutputStream().write(all.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (Rig.Answer answer : own) answer.sentMs = sentMs;
            rig.note("client %d has sent %s to %s at once", client, own.get(0).id, own.get(own.size() - 1).id);
            for (Rig.Answer answer : own) {
                try {
                    Rig.readAnswer(socket, answer, 8_000);
                } catch (IOException e) {
                    answer.end = "the gateway ended the connection (" + e.getMessage() + ")";
                }
                answer.endedMs = Rig.now();
            }
        }
        for (Rig.Answer answer : own) rig.note("client has %s", answer);
        answers.addAll(own);
    }
}
