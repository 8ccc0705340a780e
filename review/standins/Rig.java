import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The stand-ins that all cases share: engines, a discovery agent and clients, all on loopback, and a gateway that is
 * started as a process of its own with the command of the deploy file.
 */
final class Rig implements Closeable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START_NANOS = System.nanoTime();

    final Path temporary;
    private final PrintStream record;
    private final List<Closeable> toClose = new java.util.concurrent.CopyOnWriteArrayList<>();
    /** What readers hold, by request id. */
    final Map<String, Held> held = new ConcurrentHashMap<>();
    /** Every end of a held state, in order. */
    final List<Held> ended = java.util.Collections.synchronizedList(new ArrayList<>());

    static final class Held {
        final String id;
        final Engine reader;
        final double sinceMs;
        volatile double untilMs = Double.NaN;
        volatile String how = "still held";

        Held(String id, Engine reader) {
            this.id = id;
            this.reader = reader;
            this.sinceMs = now();
        }
    }

    Rig(Path recordFile) throws IOException {
        temporary = Files.createTempDirectory("review");
        record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        note("trouble: %s", TROUBLE ? "on" : "off");
    }

    /** Milliseconds since the start of the test. */
    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            if (ms > 0) TimeUnit.MICROSECONDS.sleep((long) (ms * 1_000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a line to the record. */
    synchronized void note(String format, Object... arguments) {
        record.printf(Locale.ROOT, "%10.1f  ", now());
        record.printf(Locale.ROOT, format, arguments);
        record.println();
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException e) {
                return; // the connection of this thread has ended
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    <T extends Closeable> T closing(T closeable) {
        toClose.add(0, closeable);
        return closeable;
    }

    /** Ends the gateways, also if the test itself is ended. */
    void endProcesses() {
        for (Closeable closeable : java.util.List.copyOf(toClose)) {
            if (closeable instanceof Gateway gateway) gateway.close();
        }
    }

    @Override
    public void close() throws IOException {
        for (Closeable closeable : toClose) {
            try {
                closeable.close();
            } catch (IOException e) {
                note("closing failed: %s", e);
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    /** Releases what is held for a request; true if something was. */
    boolean release(String id, String how) {
        Held state = held.remove(id);
        if (state == null) return false;
        state.untilMs = now();
        state.how = how;
        ended.add(state);
        return true;
    }

    // ---- HTTP ----

    /** One message: its first line, its headers with names in lower case, and its body. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) throw new IOException("closed");
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head and, where it has a length, the body. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.start = line(in);
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            if (colon > 0) message.headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) throw new IOException("closed");
        return message;
    }

    /** A connection that was accepted by a stand-in. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        private int pushedBack = -1;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            InputStream raw = socket.getInputStream();
            this.in = new InputStream() {
                @Override
                public int read() throws IOException {
                    int next = pushedBack;
                    pushedBack = -1;
                    return next >= 0 ? next : raw.read();
                }

                @Override
                public int read(byte[] bytes, int offset, int length) throws IOException {
                    if (length == 0) return 0;
                    int next = pushedBack;
                    pushedBack = -1;
                    if (next < 0) return raw.read(bytes, offset, length);
                    bytes[offset] = (byte) next;
                    return 1;
                }
            };
            this.out = socket.getOutputStream();
        }

        /** Waits; true if the other side closes the connection meanwhile. */
        boolean closedWithin(double ms) throws IOException {
            double untilMs = now() + ms;
            for (double left = ms; left > 0; left = untilMs - now()) {
                if (pushedBack >= 0) {
                    sleep(left);
                    return false;
                }
                socket.setSoTimeout(Math.max(1, (int) left));
                try {
                    int next = in.read();
                    if (next < 0) return true;
                    pushedBack = next;
                } catch (SocketTimeoutException e) {
                    continue;
                } catch (IOException e) {
                    return true;
                } finally {
                    if (!socket.isClosed()) socket.setSoTimeout(0);
                }
            }
            return false;
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void reply(int status, String body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String header : headers) head.append(header).append("\r\n");
            if (status != 204) head.append("Content-Length: ").append(body.length()).append("\r\n");
            write(head + "\r\n" + body);
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    interface Server {
        void serve(Connection connection, Message request) throws Exception;
    }

    /** Accepts connections, and serves the requests of each one after the other. */
    final class Listener implements Closeable {
        final ServerSocket socket;
        private final List<Socket> open = java.util.Collections.synchronizedList(new ArrayList<>());

        Listener(String name, Server server) throws IOException {
            socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            start(name, () -> {
                while (!socket.isClosed()) {
                    Socket accepted = socket.accept();
                    open.add(accepted);
                    start(name, () -> {
                        try (accepted) {
                            Connection connection = new Connection(accepted);
                            while (!accepted.isClosed()) server.serve(connection, read(connection.in));
                        } finally {
                            open.remove(accepted);
                        }
                    });
                }
            });
            closing(this);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket each : List.copyOf(open)) each.close();
        }
    }

    // ---- Engines ----

    /** A sound engine of one role, as PROTOCOL describes it. */
    class Engine {
        final String name;
        final boolean reader;
        final int cell;
        final Listener listener;
        volatile String health = "in_service";
        volatile long bornMs;
        volatile double readMs = 40;
        volatile double firstTokenMs = 60;
        volatile double tokenMs = 20;
        volatile int events = 6;

        Engine(String name, boolean reader, int cell) throws IOException {
            this.name = name;
            this.reader = reader;
            this.cell = cell;
            listener = new Listener(name, this::serve);
        }

        String dial() {
            return listener.address();
        }

        void serve(Connection connection, Message request) throws Exception {
            String[] parts = request.start.split(" ");
            if (parts[0].equals("DELETE")) {
                String id = parts[1].substring(parts[1].lastIndexOf('/') + 1);
                note("%s gets the release of %s%s", name, id, release(id, "released") ? "" : " (nothing held)");
                connection.reply(204, "");
                return;
            }
            String id = request.header("req-id");
            note("%s gets %s, told %s s", name, id, request.header("req-deadline"));
            if (id.isEmpty()) {
                connection.reply(404, "");
                return;
            }
            if (reader) serveRead(connection, id, request);
            else serveWrite(connection, id, request);
        }

        void serveRead(Connection connection, String id, Message request) throws Exception {
            if (connection.closedWithin(readMs)) {
                note("%s: read of %s was given up", name, id);
                connection.socket.close();
                return;
            }
            hold(id);
            connection.reply(202, "{\"cached_tokens\":0}");
        }

        void hold(String id) {
            held.put(id, new Held(id, this));
            note("%s holds the state of %s", name, id);
        }

        void serveWrite(Connection connection, String id, Message request) throws Exception {
            if (!release(id, "fetched by " + name)) {
                note("%s turns %s away: no state", name, id);
                connection.reply(410, "", "Srv-Declined: 1");
                return;
            }
            note("%s runs %s", name, id);
            sleep(firstTokenMs);
            stream(connection, id);
        }

        void stream(Connection connection, String id) throws Exception {
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < events; i++) {
                connection.chunk(event(name, id, i));
                sleep(tokenMs);
            }
            connection.chunk("data: [DONE]\n\n");
            connection.write("0\r\n\r\n");
            note("%s has written the whole stream of %s", name, id);
        }

        String json() {
            return String.format(Locale.ROOT, "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"ub-east\",\"class\":\"%s\","
                    + "\"block\":%d,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}", name, dial(),
                    reader ? "prefill" : "decode", cell, health, bornMs);
        }
    }

    static String event(String engine, String id, int i) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + engine + "." + id + "." + i
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    // ---- Discovery ----

    /** The list of engines, as one agent tells it. */
    final class Agent {
        private static final Pattern INDEX = Pattern.compile("index=(\\d+)");
        private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");
        private final List<? extends Engine> engines;
        private final Map<Integer, List<Engine>> changes = new LinkedHashMap<>();
        private int version = 41;
        final Listener listener;
        volatile boolean silent;

        Agent(List<? extends Engine> engines) throws IOException {
            this.engines = List.copyOf(engines);
            listener = new Listener("agent", this::serve);
        }

        synchronized void changed(Engine engine) {
            changes.put(++version, List.of(engine));
            note("list %d: %s %s born %d", version, engine.name, engine.health, engine.bornMs);
            notifyAll();
        }

        synchronized String list(int since) {
            boolean whole = since < 0;
            Stream<? extends Engine> listed = whole ? engines.stream().filter(e -> !e.health.equals("terminated"))
                    : changes.entrySet().stream().filter(e -> e.getKey() > since).flatMap(e -> e.getValue().stream())
                            .distinct();
            return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":["
                    + listed.map(Engine::json).collect(Collectors.joining(",")) + "]}";
        }

        private void serve(Connection connection, Message request) throws Exception {
            int since = number(INDEX, request.start, -1);
            int waitMs = number(WAIT, request.start, 0);
            if (silent) {
                connection.closedWithin(60_000);
                connection.socket.close();
                return;
            }
            String answer;
            synchronized (this) {
                double untilMs = now() + waitMs;
                while (since >= version && now() < untilMs) wait(Math.max(1, (long) (untilMs - now())));
                answer = list(since);
            }
            if (silent) {
                connection.closedWithin(60_000);
                connection.socket.close();
                return;
            }
            connection.reply(200, answer, "Content-Type: application/json");
        }

        private static int number(Pattern pattern, String text, int fallback) {
            Matcher found = pattern.matcher(text);
            return found.find() ? Integer.parseInt(found.group(1)) : fallback;
        }
    }

    // ---- Gateways ----

    /** What a gateway is told beside its addresses; the defaults are the example of WIRE, with 2 gateways. */
    static class Settings {
        int gateways = 2;
        int sockets = 512;
        int memoryMb = 192;
        double deadlineMs = 4_000;
        double connIdleMs = 30_000;
        double keyTtlMs = 5_000;
        String bookRepeat = "side_effect";
        String bookScope = "all";
        double warmAfterMs = 14_000;
        double pinLimitMs = 500;
        double connectTimeoutMs = 250;
        int maxAttempts = 6;
        /** For each class: the time added to the aim for each 1,000 prompt tokens, in microseconds. */
        String aimUsPer1000Tokens = "[60000.0,40000.0]";
        String memoryTokens = "[258943,168019]";

        /** The request classes. */
        String lanes() {
            return lane("ask", deadlineMs, 1_000, "pure", "all", keyTtlMs, 2) + ","
                    + lane("book", deadlineMs, 1_000, bookRepeat, bookScope, keyTtlMs, 6);
        }

        String json() {
            return String.format(Locale.ROOT, "{\"balancers\":%d,\"zone\":0,\"tickMs\":4.0,\"discovery\":\"push\","
                    + "\"rank\":0,\"tier\":0,\"layers\":[\"booking-models\"],\"weights\":\"nominal\",\"worthBy\":\"work\","
                    + "\"overShareWorth\":0.1,\"serviceType\":\"twostage\",\"parties\":[],"
                    + "\"localities\":[\"ub-east\",\"ub-west\"],\"shapes\":[\"prefill\",\"decode\"],"
                    + "\"clients\":{\"marksRetry\":false},\"stats\":{\"columns\":[],\"via\":\"off\"},"
                    + "\"familyInfo\":{\"aimUsPer1000PromptTokens\":%s,\"earlyPairing\":false,"
                    + "\"kindMemoryTokens\":%s,\"kindRole\":[\"read\",\"write\"],\"pinLimitMs\":%.1f,"
                    + "\"readInPlace\":false,\"resume\":false,\"tokenAimMs\":[50.0,60.0],\"transferPrice\":0.04},"
                    + "\"lanes\":[%s],\"limits\":{\"cancel\":true,\"connIdleMs\":%.1f,\"connectTimeoutMs\":%.1f,"
                    + "\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"maxOpen\":20000,\"maxRetryAfterMs\":1000.0,"
                    + "\"maxStreams\":32,\"mayProbe\":false,\"mayTell\":false,\"retryAfter\":true,"
                    + "\"secondCopies\":false,\"sendCap\":%d},"
                    + "\"prices\":{\"crossZone\":0.02,\"lateFail\":0.034,\"waste\":0.093},"
                    + "\"rules\":{\"answerSlackMs\":16.0,\"drainGraceMs\":250.0,\"mustAskInMs\":10000.0,"
                    + "\"overloadForMs\":2000.0,\"startCapacity\":0.25,\"tipMultiple\":2.5,\"warmAfterMs\":%.1f}}",
                    gateways, aimUsPer1000Tokens, memoryTokens, pinLimitMs, lanes(), connIdleMs, connectTimeoutMs, maxAttempts, warmAfterMs);
        }

        static String lane(String name, double deadlineMs, double goalMs, String repeat, String scope, double keyTtlMs,
                double worth) {
            return String.format(Locale.ROOT, "{\"name\":\"%s\",\"goalTimeMs\":%.1f,\"deadlineMs\":%.1f,"
                    + "\"repeat\":\"%s\",\"keyScope\":\"%s\",\"keyTtlMs\":%.1f,\"lateShare\":0.2,\"stream\":true,"
                    + "\"worth\":%.1f}", name, goalMs, deadlineMs, repeat, scope, keyTtlMs, worth);
        }
    }

    /** A gateway process that runs the deploy file's command. */
    final class Gateway implements Closeable {
        final String name;
        final int port;
        final Settings settings;
        private final Path folder;
        private String discovery;
        private String known;
        private int starts;
        Process process;

        Gateway(String name, Settings settings, Agent agent) throws Exception {
            this.name = name;
            this.settings = settings;
            this.discovery = agent.listener.address();
            this.known = agent.list(-1);
            this.folder = Files.createDirectories(temporary.resolve(name));
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = free.getLocalPort();
            }
            closing(this);
            start();
        }

        private String command() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(Path.of("deploy/balancer.toml")));
            if (!run.find()) throw new IOException("deploy/balancer.toml has no run command");
            return run.group(1);
        }

        void writeConfig() throws IOException {
            Path next = folder.resolve("next");
            Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be96" + ++starts
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + settings.memoryMb + ",\"sockets\":"
                    + settings.sockets + "},\"known\":" + known + ",\"settings\":" + settings.json() + "}");
            Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING,
                    StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws Exception {
            writeConfig();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
            builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            double untilMs = now() + 30_000;
            while (!ready()) {
                if (!process.isAlive() || now() > untilMs) throw new IOException(name + " did not become ready");
                sleep(20);
            }
            note("%s is ready", name);
        }

        Path log() {
            return folder.resolve("log");
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                return read(socket.getInputStream()).start.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Gives the gateway a configuration with another agent. */
        void reload(Agent agent) throws Exception {
            discovery = agent.listener.address();
            writeConfig();
            signal("HUP");
        }

        void signal(String which) throws Exception {
            note("%s gets SIG%s", name, which);
            new ProcessBuilder("kill", "-" + which, "" + process.pid()).start().waitFor();
        }

        /** Writes to the record what the gateway logged. */
        void noteLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log(), StandardCharsets.ISO_8859_1);
            note("%s logged %d lines; the last ones:", name, all.size());
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(each -> note("    %s", each));
        }

        @Override
        public void close() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- Clients ----

    /** How a request ended for its client. */
    static final class Answer {
        String id;
        double sentMs;
        double endedMs = Double.NaN;
        int status;
        /** The stream had its last chunk, or the answer its whole body. */
        boolean whole;
        String text = "";
        String end = "nothing";

        boolean answered() {
            return status > 0;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s: status %d, %s, %s after %.0f ms", id, status,
                    whole ? "whole" : "not whole", end, endedMs - sentMs);
        }
    }

    static String request(String id, String kind, double deadlineS, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Key: " + String.format("%016x", id.hashCode() * 0x9e3779b97f4a7c15L) + "\r\nReq-Deadline: "
                + String.format(Locale.ROOT, "%.3f", deadlineS)
                + "\r\nReq-Extra: prompt_len=" + Math.max(1, body.length() / 4) + ",prefix_len=0,max_out=60\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static final String BODY = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":60,\"messages\":[{\"role\":\"user\","
            + "\"content\":\"When are you open?\"}]}";

    /** Sends a request on a new connection and reads the answer, for at most so long. */
    Answer ask(int port, String id, String kind, double deadlineS, String body, double waitMs) {
        Answer answer = new Answer();
        answer.id = id;
        answer.sentMs = now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), (int) waitMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request(id, kind, deadlineS, body).getBytes(StandardCharsets.ISO_8859_1));
            note("client sends %s (%s, %.3f s)", id, kind, deadlineS);
            readAnswer(socket, answer, waitMs);
        } catch (IOException e) {
            answer.end = e instanceof SocketTimeoutException ? "no further byte" : "connection ended (" + e.getMessage()
                    + ")";
        }
        answer.endedMs = now();
        note("client has %s", answer);
        return answer;
    }

    static void readAnswer(Socket socket, Answer answer, double waitMs) throws IOException {
        double untilMs = now() + waitMs;
        InputStream in = new InputStream() {
            @Override
            public int read() throws IOException {
                socket.setSoTimeout(Math.max(1, (int) (untilMs - now())));
                return socket.getInputStream().read();
            }
        };
        Message head = new Message();
        String first = line(in);
        answer.status = Integer.parseInt(first.split(" ")[1]);
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            head.headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        if (!head.header("transfer-encoding").equals("chunked")) {
            byte[] body = in.readNBytes(Integer.parseInt(head.headers.getOrDefault("content-length", "0")));
            answer.text = new String(body, StandardCharsets.ISO_8859_1);
            answer.whole = true;
            answer.end = "ended";
            return;
        }
        StringBuilder text = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(line(in).trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new IOException("closed");
            text.append(new String(chunk, StandardCharsets.ISO_8859_1));
            answer.text = text.toString();
            line(in);
            if (size > 0) continue;
            answer.whole = true;
            answer.end = "ended";
            return;
        }
    }
}
