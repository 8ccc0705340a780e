import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients send hundreds of requests at once on one connection and go. Rule: no attempt begins more than 100 ms after a
 * client closed its connection.
 */
final class Gone implements RunCase.Case {
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 219;
    private static final int PROMPT_BYTES = 2_400; // 600 tokens
    private static final double READ_MS = 700;
    private static final double STAYS_MS = 60;
    private static final double ALLOWED_MS = 100;
    private static final double TOLD_CHECK_MS = 450;
    private static final double OWN_SLACK_MS = 60; // for the threads of this test

    private record Begun(String id, String engine, double atMs) {}

    @Override
    public boolean run(Rig rig) throws Exception {
        Map<String, List<Begun>> attempts = new ConcurrentHashMap<>();
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            boolean reader = i < 4;
            Rig.Engine engine = rig.new Engine((reader ? "r" : "w") + i % 4, reader, i % 2) {
                @Override
                void serve(Rig.Connection connection, Rig.Message request) throws Exception {
                    String id = request.header("req-id");
                    if (!id.isEmpty()) attempts.computeIfAbsent(id.substring(0, 4),
                            key -> java.util.Collections.synchronizedList(new ArrayList<>()))
                            .add(new Begun(id, name, Rig.now()));
                    super.serve(connection, request);
                }
            };
            engine.readMs = READ_MS;
            engines.add(engine);
        }
        Rig.Gateway gateway = rig.new Gateway("n0", new Rig.Settings(), rig.new Agent(engines));
        rig.ask(gateway.port, "5000000000000000", "ask", 4, Rig.BODY, 10_000);

        String body = "x".repeat(PROMPT_BYTES);
        boolean broken = false;
        for (int c = 1; c <= CLIENTS; c++) {
            String prefix = String.format("%04x", 0x6000 + c);
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++)
                text.append(Rig.request(prefix + String.format("%012x", i), "book", 4, body));
            double closedMs;
            try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
                Thread writer = Rig.start("writer", () -> socket.getOutputStream()
                        .write(text.toString().getBytes(StandardCharsets.ISO_8859_1)));
                rig.note("client %s sends %d requests, %d bytes", prefix, REQUESTS, text.length());
                Rig.sleep(STAYS_MS);
                rig.note("client %s has sent all: %s", prefix, !writer.isAlive());
                if (!Rig.TROUBLE) stay(socket);
                closedMs = Rig.now();
            }
            rig.note("client %s closes its connection", prefix);
            Rig.sleep(TOLD_CHECK_MS);
            rig.note("the gateway's machine has been told of the close: %s", hasCloseWait(gateway.port));
            if (Rig.TROUBLE) Rig.sleep(1_500);
            for (Begun begun : List.copyOf(attempts.getOrDefault(prefix, List.of()))) {
                double afterMs = begun.atMs() - closedMs;
                if (afterMs <= ALLOWED_MS + OWN_SLACK_MS) continue;
                rig.note("broken: an attempt for %s began at %s %.0f ms after its client had gone", begun.id(),
                        begun.engine(), afterMs);
                broken = true;
            }
        }
        gateway.noteLog(20);
        System.out.println(broken ? "attempts for clients that had gone" : "no attempt for a client that had gone");
        return broken;
    }

    /** True if a connection to the port has been closed by its client and is open here: state 8, CLOSE_WAIT. */
    private static boolean hasCloseWait(int port) throws IOException {
        String local = String.format(":%04X", port);
        for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(file))) {
                String[] fields = line.trim().split("\\s+");
                if (fields.length > 3 && fields[1].endsWith(local) && fields[3].equals("08")) return true;
            }
        }
        return false;
    }

    /** Reads what comes until nothing has come for a while: all requests are answered then. */
    private static void stay(Socket socket) throws IOException {
        socket.setSoTimeout(2_500);
        try {
            while (socket.getInputStream().read(new byte[65_536]) > 0) continue;
        } catch (java.net.SocketTimeoutException e) {
            return;
        }
    }
}
