import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients send some requests at once, each client on a connection of its own. Half a second later the gateway is told
 * to end, while the first answers are under way.
 */
final class ManyAtOnce extends SmallFleet {
    private static final int CLIENTS = 6;
    private static final int AT_ONCE = 4;
    private static final double DEADLINE_MS = 4_000;
    /** A later final answer counts as lost. */
    private static final double LATE_MS = 500;
    private static final double TERM_AFTER_MS = 500;
    /** From SIGTERM to SIGKILL at the earliest: the longest deadline and 0.7 s. */
    private static final double KILL_AFTER_MS = DEADLINE_MS + 700;

    /** What became of one request. */
    private static final class Fate {
        String id;
        String answer;
        double answeredMs;
    }

    private final List<Fate> fates = new CopyOnWriteArrayList<>();

    private ManyAtOnce(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(2);
        for (Engine engine : cluster.engines.values()) {
            engine.tokens = 14;
            engine.tokenMs = 50;
        }
        startGateways(booking());
        Gateway gateway = gateways.get(0);
        for (int i = 0; i < 10; i++) {
            if (!ask(gateway, "ask", "warm" + i, DEADLINE_MS, 500).equals("200")) throw new Unusable("a first request was not served");
        }
        double sentMs = now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) clients.add(spawn("client", () -> sendAtOnce(gateway)));
        sleepUntil(sentMs + TERM_AFTER_MS);
        double termMs = now();
        if (trouble) gateway.signal("TERM");
        sleepUntil(termMs + KILL_AFTER_MS);
        note("SIGKILL to gateway %s, which %s", gateway.name, gateway.process.isAlive() ? "still runs" : "has ended");
        if (trouble) gateway.kill();
        for (Thread client : clients) client.join(5_000);
        if (fates.size() != CLIENTS * AT_ONCE) throw new Unusable("requests are missing");
        for (Fate fate : fates) {
            if (fate.answer == null)
                breach("%s was sent %.0f ms before SIGTERM and got no answer: the gateway ended its connection", fate.id,
                        TERM_AFTER_MS);
            else if (!fate.answer.equals("200") && fate.answeredMs > sentMs + DEADLINE_MS + LATE_MS)
                breach("%s was answered %s %.0f ms after it was sent", fate.id, fate.answer, fate.answeredMs - sentMs);
        }
    }

    private void sendAtOnce(Gateway gateway) throws Exception {
        List<Fate> own = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < AT_ONCE; i++) {
            Fate fate = new Fate();
            fate.id = newId();
            own.add(fate);
            String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":\""
                    + "a".repeat(2_000) + "\"}]}";
            text.append("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: ").append(fate.id)
                    .append("\r\nReq-Kind: ").append(i % 2 == 0 ? "ask" : "book").append("\r\nReq-Key: ").append(fate.id)
                    .append("\r\nReq-Deadline: 4.000\r\nReq-Extra: prompt_len=520,max_out=300\r\nContent-Length: ")
                    .append(body.length()).append("\r\n\r\n").append(body);
        }
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, gateway.port), 2_000);
            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            note("a client has sent %s to %s at once", own.get(0).id, own.get(AT_ONCE - 1).id);
            socket.setSoTimeout(8_000);
            for (Fate fate : own) {
                fate.answer = readOne(socket.getInputStream());
                fate.answeredMs = now();
                if (fate.answer == null) break;
                note("%s: client: %s", fate.id, fate.answer);
            }
        } catch (IOException e) {
            note("a client's connection: %s", e);
        }
        for (Fate fate : own) {
            if (fate.answer == null) note("%s: client: the connection has ended with no answer to it", fate.id);
        }
        fates.addAll(own);
    }

    /** Reads one answer to its end and returns its status; "broken" for a stream with no end, null for no answer. */
    private static String readOne(InputStream in) throws IOException {
        String head = readTo(in, "\r\n\r\n");
        if (head == null) return null;
        String status = head.substring(9, 12);
        int length = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
        if (length < 0) return readTo(in, "\r\n0\r\n\r\n") == null ? "broken" : status;
        in.readNBytes(Integer.parseInt(head.substring(length + 15, head.indexOf('\r', length)).trim()));
        return status;
    }

    private static String readTo(InputStream in, String end) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            read.write(next);
            if (next == '\n' && read.toString(StandardCharsets.ISO_8859_1).endsWith(end))
                return read.toString(StandardCharsets.ISO_8859_1);
        }
    }

    public static void main(String[] args) throws IOException {
        new ManyAtOnce(args).runAndExit();
    }
}
