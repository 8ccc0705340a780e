import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Stand-ins for clients, engines and discovery, and the gateway processes, for the cases of the second review. All
 * addresses are loopback addresses with free ports. A case is a class that extends this one; see run.sh of the cases.
 */
abstract class Rig2 {
    static final long START_NANOS = System.nanoTime();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path folder;
    final Path root;
    final Path scratch;
    /** False for the control run without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();
    /** Draws of the stand-ins; the order of threads makes each run another. */
    final Random random = new Random(53);
    final List<String> breaches = new ArrayList<>();
    private final PrintWriter record;

    Rig2(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath();
        folder = Path.of(args[1]).toAbsolutePath();
        scratch = Files.createTempDirectory("review2-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleepUntil(double ms) {
        for (double left = ms - now(); left > 0; left = ms - now()) LockSupport.parkNanos((long) (left * 1e6));
    }

    static void sleep(double ms) {
        sleepUntil(now() + ms);
    }

    synchronized void note(String format, Object... values) {
        record.printf(Locale.ROOT, "%9.1f ms  %s%n", now(), String.format(Locale.ROOT, format, values));
        record.flush();
    }

    synchronized void breach(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        breaches.add(text);
        note("RULE BROKEN: %s", text);
    }

    /** Thrown if the case could not run, or did not reach the situation that it is about. */
    static final class Unusable extends RuntimeException {
        Unusable(String message) {
            super(message);
        }
    }

    abstract void play() throws Exception;

    /** Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    final void runAndExit() {
        int status;
        Thread killer = new Thread(() -> gateways.forEach(Gateway::kill));
        Runtime.getRuntime().addShutdownHook(killer);
        Thread watchdog = new Thread(() -> {
            sleep(110_000);
            note("the case took too long");
            Runtime.getRuntime().exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            note("%s the disruption", trouble ? "with" : "without");
            play();
            status = breaches.isEmpty() ? 0 : 1;
        } catch (Throwable e) {
            note("could not run: %s", e);
            e.printStackTrace();
            status = 2;
        }
        note("the case is over; its gateways are ended");
        gateways.forEach(Gateway::kill);
        for (Gateway gateway : gateways) {
            if (status == 2) gateway.copyLogTo(folder.resolve("gateway-" + gateway.name + ".log"));
        }
        note("result: %d (%d breaches)", status, breaches.size());
        System.out.println((status == 1 ? "rule broken: " + breaches.get(0) : status == 0 ? "rule held" : "could not run")
                + " (breaches: " + breaches.size() + ")");
        deleteScratch();
        Runtime.getRuntime().exit(status);
    }

    private void deleteScratch() {
        try (var paths = Files.walk(scratch)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        } catch (IOException e) {
            note("the temporary folder is left: %s", e);
        }
    }

    static Thread spawn(String name, Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException e) {
                return; // the peer has gone
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    // ---- HTTP server ----

    interface Handler {
        void handle(Call call) throws Exception;
    }

    /** A server on a free loopback port. What comes in and goes out takes {@link #delayMs} each way. */
    static class Server {
        final ServerSocket listener;
        final Handler handler;
        volatile double delayMs;
        volatile boolean accepting = true;
        final List<Connection> connections = new ArrayList<>();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, LOOPBACK);
            spawn("accept", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Connection connection = new Connection(this, socket);
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    spawn("connection", connection::readAll);
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** As when the process dies: its connections are reset and new ones are refused. */
        void die() throws IOException {
            listener.close();
            synchronized (connections) {
                for (Connection connection : connections) connection.reset();
            }
        }
    }

    static final class Connection {
        final Server server;
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        volatile boolean closed;
        volatile double closedMs = Double.NaN;
        /** A silent connection stays open, and nothing passes on it any more. */
        volatile boolean silent;
        private Runnable onClose = () -> {};

        Connection(Server server, Socket socket) throws IOException {
            this.server = server;
            this.socket = socket;
            this.in = socket.getInputStream();
            this.out = socket.getOutputStream();
        }

        synchronized void onClose(Runnable action) {
            onClose = action;
            if (closed) action.run();
        }

        void readAll() throws Exception {
            try {
                while (true) {
                    Call call = Call.read(this);
                    if (silent) continue;
                    spawn("call", () -> server.handler.handle(call));
                }
            } catch (IOException e) {
                if (server.delayMs > 0) sleep(server.delayMs);
                synchronized (this) {
                    closed = true;
                    closedMs = now();
                    onClose.run();
                }
                socket.close();
            } finally {
                synchronized (server.connections) {
                    server.connections.remove(this);
                }
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void write(String text) throws IOException {
            if (server.delayMs > 0) sleep(server.delayMs);
            if (silent) return;
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** One request that has arrived. */
    static final class Call {
        final Connection connection;
        String method;
        String target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        double firstByteMs;
        double arrivedMs;

        Call(Connection connection) {
            this.connection = connection;
        }

        static Call read(Connection connection) throws IOException {
            Call call = new Call(connection);
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = connection.in.read(); true; next = connection.in.read()) {
                if (next < 0) throw new EOFException();
                if (call.firstByteMs == 0) call.firstByteMs = now() + connection.server.delayMs;
                if (next != '\n') {
                    if (next != '\r') line.write(next);
                    continue;
                }
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                if (call.method == null) {
                    String[] parts = text.split(" ");
                    call.method = parts[0];
                    call.target = parts[1];
                } else if (text.isEmpty()) {
                    break;
                } else {
                    call.headers.put(text.substring(0, text.indexOf(':')), text.substring(text.indexOf(':') + 1).trim());
                }
            }
            int length = Integer.parseInt(call.headers.getOrDefault("Content-Length", "0"));
            if (connection.in.readNBytes(length).length < length) throw new EOFException();
            if (connection.server.delayMs > 0) sleep(connection.server.delayMs);
            call.arrivedMs = now();
            return call;
        }

        void reply(int status, String body, String... extraHeaders) throws IOException {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
            for (String header : extraHeaders) text.append(header).append("\r\n");
            if (status != 204) text.append("Content-Length: ").append(body.length()).append("\r\n");
            connection.write(text.append("\r\n").append(status == 204 ? "" : body).toString());
        }
    }

    // ---- Discovery ----

    /** An engine as listed. */
    static final class Entry {
        String host;
        String dial;
        String site;
        String kind;
        int block;
        String health = "in_service";
        long version = 1;

        String json() {
            return String.format(Locale.ROOT, "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\","
                    + "\"block\":%d,\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}", host, dial, site, kind, block, health);
        }
    }

    /** The agent on a gateway's machine: answers at once with what it has been sent, and watches wait for changes. */
    final class Agent {
        final String name;
        final Map<String, Entry> entries = new LinkedHashMap<>();
        long version = 1;
        volatile boolean silent;
        volatile int calls;
        volatile Connection lastConnection;
        volatile double lastWatchMs;
        final Server server;

        Agent(String name) throws IOException {
            this.name = name;
            server = new Server(this::answer);
        }

        synchronized void add(Entry entry) {
            entries.put(entry.host, entry);
        }

        /** The agent is sent a change of an engine's health. */
        synchronized void change(String host, String health, long newVersion) {
            Entry entry = entries.get(host);
            entry.health = health;
            entry.version = newVersion;
            version = newVersion;
            note("agent %s has version %d: %s %s", name, newVersion, host, health);
            notifyAll();
        }

        synchronized void setSilent(boolean on) {
            silent = on;
            note("agent %s %s", name, on ? "is silent" : "answers again");
            notifyAll();
        }

        synchronized String list(long known) {
            StringBuilder hosts = new StringBuilder();
            for (Entry entry : entries.values()) {
                if (known >= 0 && entry.version <= known) continue;
                if (known < 0 && entry.health.equals("terminated")) continue;
                hosts.append(hosts.length() == 0 ? "" : ",").append(entry.json());
            }
            return "{\"seq\":" + version + ",\"whole\":" + (known < 0) + ",\"hosts\":[" + hosts + "]}";
        }

        private void answer(Call call) throws Exception {
            long known = parameter(call.target, "index", -1);
            double untilMs = now() + parameter(call.target, "wait", 0);
            calls++;
            lastConnection = call.connection;
            lastWatchMs = now();
            String list;
            synchronized (this) {
                while (silent || known >= version && now() < untilMs) {
                    wait(silent ? 1_000 : (long) Math.max(1, untilMs - now()));
                    if (call.connection.closed || call.connection.silent) return;
                }
                list = list(known);
            }
            note("agent %s answers %s with %s", name, call.target, list.length() < 400 ? list : list.length() + " bytes");
            call.reply(200, list, "Content-Type: application/json");
        }
    }

    static long parameter(String target, String name, long fallback) {
        int at = target.indexOf(name + "=");
        if (at < 0) return fallback;
        int end = target.indexOf('&', at);
        return Long.parseLong(target.substring(at + name.length() + 1, end < 0 ? target.length() : end));
    }

    // ---- Engines ----

    /** The engines of a deployment, with the states that they hold for requests. */
    final class Cluster {
        final Map<String, Engine> engines = new LinkedHashMap<>();
        final Map<String, State> states = new LinkedHashMap<>();

        Engine add(String host, boolean reader, String site, int block) throws IOException {
            Engine engine = new Engine(this, host, reader, site, block);
            engines.put(host, engine);
            return engine;
        }

        /** Lets go of what is held for a request and no attempt waits for. */
        synchronized void release(String id, String at) {
            State state = states.get(id);
            if (state == null) return;
            state.releases++;
            if (state.waiting > 0) {
                note("%s: release at %s, a write waits for the state", id, at);
                return;
            }
            states.remove(id);
            note("%s: released at %s after %.0f ms", id, at, now() - state.sinceMs);
        }
    }

    /** A state that waits at a reader. */
    static final class State {
        final String reader;
        /** Since when it is held and no attempt of its request is out. */
        double sinceMs;
        int waiting;
        int releases;

        State(String reader) {
            this.reader = reader;
            this.sinceMs = now();
        }
    }

    /** What arrived at an engine. */
    record Arrival(String id, double firstByteMs, String gateway) {}

    final class Engine {
        final Cluster cluster;
        final Entry entry = new Entry();
        final boolean reader;
        final Server server;
        volatile double readMs = 60;
        volatile double tokenMs = 50;
        /** From the fetch of the state to the first token. */
        volatile double firstTokenMs;
        volatile int tokens = 10;
        /** Up to how many more tokens an answer has. */
        volatile int moreTokens;
        /** Free slots of a writer. */
        int slots = Integer.MAX_VALUE;
        /** Share of the streams behind which the same answer comes a second time. */
        volatile double secondShare;
        /** How long the engine may pause between the two. */
        volatile double pauseMs;
        volatile boolean stopped;
        final List<Arrival> arrivals = new ArrayList<>();

        Engine(Cluster cluster, String host, boolean reader, String site, int block) throws IOException {
            this.cluster = cluster;
            this.reader = reader;
            server = new Server(this::handle);
            entry.host = host;
            entry.dial = server.address();
            entry.site = site;
            entry.kind = reader ? "prefill" : "decode";
            entry.block = block;
        }

        private void handle(Call call) throws Exception {
            if (call.method.equals("DELETE")) {
                cluster.release(call.target.substring(call.target.lastIndexOf('/') + 1), entry.host);
                call.reply(204, "");
                return;
            }
            String id = call.headers.get("Req-Id");
            if (id == null) {
                call.reply(404, "");
                return;
            }
            synchronized (arrivals) {
                arrivals.add(new Arrival(id, call.firstByteMs, call.headers.getOrDefault("Via-Gateway", "")));
            }
            note("%s: %s begins at %s", id, reader ? "read" : "write", entry.host);
            if (reader) read(id, call);
            else write(id, call);
        }

        private void read(String id, Call call) throws Exception {
            sleep(readMs);
            synchronized (cluster) {
                if (call.connection.closed || stopped) {
                    note("%s: read at %s dropped, as its connection was closed", id, entry.host);
                    return;
                }
                cluster.states.put(id, new State(entry.host));
            }
            note("%s: read at %s has ended, its state waits", id, entry.host);
            call.reply(202, "{\"cached_tokens\":0}");
        }

        private void write(String id, Call call) throws Exception {
            State state;
            synchronized (cluster) {
                state = cluster.states.get(id);
                if (state != null) state.waiting++;
            }
            if (state == null) {
                call.reply(410, "", "Srv-Declined: 1");
                return;
            }
            if (!takeSlot(id, call, state)) return;
            try {
                synchronized (cluster) {
                    cluster.states.remove(id);
                }
                note("%s: state fetched by %s", id, entry.host);
                sleep(firstTokenMs);
                note("%s: stream begins at %s", id, entry.host);
                stream(id, call);
                note("%s: stream at %s has ended", id, entry.host);
            } finally {
                synchronized (cluster) {
                    slots++;
                    cluster.notifyAll();
                }
            }
        }

        /** Waits for a free slot; a request whose connection is closed while it waits is dropped at once. */
        private boolean takeSlot(String id, Call call, State state) throws InterruptedException {
            call.connection.onClose(() -> {
                synchronized (cluster) {
                    cluster.notifyAll();
                }
            });
            synchronized (cluster) {
                while (slots <= 0 && !call.connection.closed) cluster.wait();
                if (!call.connection.closed) {
                    slots--;
                    return true;
                }
                state.waiting--;
                state.sinceMs = call.connection.closedMs;
            }
            note("%s: its connection is closed while it waits at %s; its state is %s", id, entry.host,
                    cluster.states.containsKey(id) ? "still held at " + state.reader : "gone");
            return false;
        }

        private void stream(String id, Call call) throws Exception {
            StringBuilder sent = new StringBuilder();
            String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            send(call, head, sent);
            int count = tokens + random.nextInt(moreTokens + 1);
            for (int i = 0; i < count; i++) {
                send(call, chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"of " + id + " " + i
                        + "\"},\"finish_reason\":null}]}\n\n"), sent);
                sleep(tokenMs);
                if (call.connection.closed) return;
            }
            send(call, chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n"),
                    sent);
            send(call, chunk("data: [DONE]\n\n") + "0\r\n\r\n", sent);
            if (random.nextDouble() >= secondShare) return;
            double delayMs = 1 + 4 * random.nextDouble() + pauseMs * random.nextDouble();
            sleep(delayMs);
            if (call.connection.closed) return;
            note("%s: %s writes its answer a second time, %.0f ms after the first", id, entry.host, delayMs);
            call.connection.write(sent.toString());
        }

        private void send(Call call, String text, StringBuilder sent) throws IOException {
            sent.append(text);
            call.connection.write(text);
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    // ---- Gateways ----

    final class Gateway {
        final String name;
        final int port;
        final Path config;
        final Path log;
        Process process;
        double startedMs;

        Gateway(String name) throws IOException {
            this.name = name;
            try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
                port = free.getLocalPort();
            }
            config = scratch.resolve(name + ".json");
            log = scratch.resolve(name + ".log");
            gateways.add(this);
        }

        void configure(String discovery, String known, String settings) throws IOException {
            String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be9" + Integer.toHexString(16 + gateways.indexOf(this) + 1)
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                    + ",\"settings\":" + settings + "}";
            Path replaced = scratch.resolve(name + ".json.new");
            Files.writeString(replaced, text);
            Files.move(replaced, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start(String discovery) throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_DISCOVERY", discovery);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", scratch.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            startedMs = now();
            note("gateway %s starts", name);
        }

        void awaitReady() throws Exception {
            double untilMs = now() + 30_000;
            while (now() < untilMs) {
                if (!process.isAlive()) throw new Unusable("gateway " + name + " has ended");
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                    socket.setSoTimeout(1_000);
                    socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                    byte[] head = socket.getInputStream().readNBytes(12);
                    if (new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200")) {
                        note("gateway %s is ready after %.0f ms", name, now() - startedMs);
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(20);
            }
            throw new Unusable("gateway " + name + " is not ready within 30 s");
        }

        void signal(String signal) throws Exception {
            note("%s to gateway %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process == null || !process.isAlive()) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void copyLogTo(Path target) {
            try {
                Files.copy(log, target, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                note("no log of gateway %s: %s", name, e);
            }
        }
    }

    // ---- Clients ----

    static final Map<String, Double> SENT_MS = new ConcurrentHashMap<>();
    private static int lastId;

    static synchronized String newId() {
        return String.format("%016x", 0x9b1f03aa5c000000L + ++lastId);
    }

    /**
     * Sends one request on a new connection and returns how it ended: the status, "broken" for a stream that was not
     * whole, "closed" for a connection that ended with no answer, or "left" if the client gave up after its deadline.
     */
    String ask(Gateway gateway, String kind, String session, double deadlineMs, int promptTokens) {
        String id = newId();
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":\""
                + "a".repeat(promptTokens * 4 - 100) + "\"}]}";
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Key: " + session + "\r\nReq-Deadline: " + String.format(Locale.ROOT, "%.3f", deadlineMs / 1_000)
                + "\r\nReq-Extra: prompt_len=" + promptTokens + ",max_out=300\r\nContent-Length: " + body.length() + "\r\n\r\n";
        double sentMs = now();
        SENT_MS.put(id, sentMs);
        note("%s: client sends it to %s (%s)", id, gateway.name, kind);
        String end;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, gateway.port), 2_000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            end = readAnswer(socket, id, sentMs + deadlineMs);
        } catch (java.net.SocketTimeoutException e) {
            end = "left";
        } catch (IOException e) {
            end = "closed";
        }
        note("%s: client: %s after %.0f ms", id, end, now() - sentMs);
        return end;
    }

    private String readAnswer(Socket socket, String id, double firstByMs) throws IOException {
        InputStream in = socket.getInputStream();
        socket.setSoTimeout((int) Math.max(1, firstByMs - now()));
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String text = "";
        while (!text.endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) return "closed";
            socket.setSoTimeout(30_000);
            head.write(next);
            text = head.toString(StandardCharsets.ISO_8859_1);
        }
        String status = text.substring(9, 12);
        if (!status.equals("200")) return status;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] buffer = new byte[8_192];
        while (true) {
            int count;
            try {
                count = in.read(buffer);
            } catch (java.net.SocketTimeoutException e) {
                return "broken";
            }
            if (count < 0) return "broken";
            all.write(buffer, 0, count);
            if (!all.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n0\r\n\r\n")) continue;
            received(id, all.toString(StandardCharsets.ISO_8859_1));
            return status;
        }
    }

    /** A client has received a whole stream. */
    void received(String id, String stream) {}

    /** The settings of the first deployment, as the wire page shows them. */
    static String booking() {
        return settings("[60000.0,40000.0]", 500, lane("ask", "pure", 2, 1_000, 4_000, 5_000) + ","
                + lane("book", "side_effect", 6, 1_000, 4_000, 5_000), 250, 1_000, 6, 30_000, 250, 2_000);
    }

    /** The settings of the site hasty. */
    static String hasty() {
        return settings("[60000.0,40000.0]", 250, lane("quote", "side_effect", 3, 400, 1_200, 600) + ","
                + lane("lookup", "token", 1, 350, 1_000, 600), 120, 400, 3, 6_000, 150, 1_000);
    }

    private static String settings(String aims, int pinLimitMs, String lanes, int connectMs, int maxRetryAfterMs, int sendCap,
            int idleMs, int drainGraceMs, int overloadMs) {
        return "{\"balancers\":2,\"blend\":{\"whole\":0.65,\"worstClass\":0.2,\"worstTenant\":0.0,"
                + "\"worstWindow\":0.15},\"clients\":{\"marksRetry\":false},\"discovery\":\"push\",\"familyInfo\":"
                + "{\"aimUsPer1000PromptTokens\":" + aims + ",\"earlyPairing\":false,\"kindMemoryTokens\":[258943,168019],"
                + "\"kindRole\":[\"read\",\"write\"],\"pinLimitMs\":" + pinLimitMs + ".0,\"readInPlace\":false,"
                + "\"resume\":false,\"tokenAimMs\":[50.0,60.0],\"transferPrice\":0.04},\"lanes\":[" + lanes + "],"
                + "\"layers\":[\"booking-models\"],\"limits\":{\"cancel\":true,\"connIdleMs\":" + idleMs + ".0,"
                + "\"connectTimeoutMs\":" + connectMs + ".0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,"
                + "\"maxOpen\":20000,\"maxRetryAfterMs\":" + maxRetryAfterMs + ".0,\"maxStreams\":32,"
                + "\"mayProbe\":false,\"mayTell\":false,\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":" + sendCap
                + "},\"localities\":[\"ub-east\",\"ub-west\"],\"overShareWorth\":0.1,\"parties\":[],\"prices\":{},"
                + "\"rank\":0,\"rules\":{\"answerSlackMs\":16.0,\"drainGraceMs\":" + drainGraceMs + ".0,"
                + "\"mustAskInMs\":10000.0,\"overloadForMs\":" + overloadMs + ".0,\"startCapacity\":0.25,"
                + "\"tipMultiple\":2.5,\"warmAfterMs\":14000.0},\"serviceType\":\"twostage\","
                + "\"shapes\":[\"prefill\",\"decode\"],\"stats\":{\"columns\":[],\"via\":\"off\"},\"tickMs\":4.0,"
                + "\"tier\":0,\"weights\":\"nominal\",\"worthBy\":\"work\",\"zone\":0}";
    }

    private static String lane(String name, String repeat, int worth, int goalMs, int deadlineMs, int windowMs) {
        return "{\"deadlineMs\":" + deadlineMs + ".0,\"goalTimeMs\":" + goalMs + ".0,\"keyScope\":\"all\",\"keyTtlMs\":"
                + windowMs + ".0,\"lateShare\":0.2,\"name\":\"" + name + "\",\"repeat\":\"" + repeat
                + "\",\"stream\":true,\"worth\":" + worth + ".0}";
    }
}
