package maplerail.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** One gateway: a real process, started by the deploy file's line, with its own agent, configuration and shim. */
final class GatewayProcess implements AutoCloseable {
    private static final double READY_LIMIT_MS = 10_000;
    private static final double COUNTS_AS_TOLD_MS = 6_500;
    private static final double READ_FAULTS_LAST_MS = 5_000;
    private static final double MOST_DEADLINE_MS = 3_000; // that counts for the time between the two signals
    private static final double KILL_GRACE_MS = 700;
    private static final int RELOAD_BEFORE_END_MS = 800;
    private static final int LOOK_MS = 20;
    private static final int ASK_TIMEOUT_MS = 500;

    final String name;
    final int port;
    final ShimControl shim;
    private final Path folder;
    private final Path shimLibrary;
    private final String command;
    private final Directory directory;
    private final Ledger ledger;
    private final SoakSettings settings;
    private DiscoveryAgent agent;
    private String known = "";
    private long starts;
    private volatile Process process;
    private volatile boolean up;
    private volatile boolean ending;
    private volatile boolean killed;
    private volatile Process toldToEnd;
    private volatile double readyMs = Double.NaN;
    private volatile double readFaultsMs = Double.NEGATIVE_INFINITY;

    GatewayProcess(String name, Path folder, Path shimLibrary, String command, Directory directory, Ledger ledger,
            SoakSettings settings) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.shimLibrary = shimLibrary;
        this.command = command;
        this.directory = directory;
        this.ledger = ledger;
        this.settings = settings;
        shim = new ShimControl(this.folder.resolve("control"));
        agent = new DiscoveryAgent(name, directory, ledger);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        known = directory.since(-1, entry -> {});
    }

    private Path config() {
        return folder.resolve("config.json");
    }

    private void writeConfig() throws IOException {
        Path next = folder.resolve("next");
        Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + agent.address() + "\",\"seed\":\"" + Long.toHexString(name.hashCode() * 31L + ++starts)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"known\":" + known
                + ",\"settings\":"
                + settings.json() + "}");
        Files.move(next, config(), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** True while it is in the front's list: ready, and not told to end. */
    boolean takesClients() {
        return up && !ending;
    }

    /** What discovery has counts as told some time after it had it, if it could be asked all the while. */
    void countAsTold() {
        double sinceMs = Math.max(agent.usableSinceMs(), readyMs);
        if (!takesClients() || Double.isNaN(sinceMs)) return;
        double beforeMs = Ledger.nowMs() - COUNTS_AS_TOLD_MS;
        if (sinceMs > beforeMs) return;
        directory.entries().forEach((engine, entry) -> {
            if (entry.changedMs() < beforeMs) ledger.told(name, engine, entry);
        });
    }

    /** True while, or shortly after, reads of its sockets fail: a connection may then end for no other reason. */
    boolean hasReadFaults() {
        return Ledger.nowMs() - readFaultsMs < READ_FAULTS_LAST_MS;
    }

    void readFaults(int error, int permille, int shortest) {
        readFaultsMs = Ledger.nowMs() + (error == 0 ? 0 : READ_FAULTS_LAST_MS);
        shim.set(ShimControl.Field.READ_ERRNO, error);
        shim.set(ShimControl.Field.READ_PERMILLE, permille);
        shim.set(ShimControl.Field.SHORT_IO, shortest);
    }

    /** Starts it and waits until it is ready. */
    void start() throws Exception {
        readyMs = Double.NaN;
        writeConfig();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().put("RELAY_CONFIG", config().toString());
        builder.environment().put("LD_PRELOAD", shimLibrary.toString());
        builder.environment().put("FAULTSHIM_CONTROL", folder.resolve("control").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        double startMs = Ledger.nowMs();
        process = builder.start();
        // In this order: news of the last one's end may still be on its way.
        ending = false;
        killed = false;
        Process mine = process;
        mine.onExit().thenAccept(this::exited);
        while (mine.isAlive() && !ready()) {
            if (Ledger.nowMs() - startMs > READY_LIMIT_MS) {
                ledger.breach(Ledger.Rule.READY_IN_TIME, null, name + " is not ready after " + READY_LIMIT_MS + " ms");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        readyMs = Ledger.nowMs();
        up = mine.isAlive();
    }

    private void exited(Process ended) {
        // An end that was asked for may be told of only after the next start.
        if (ended != process || ended.equals(toldToEnd)) return;
        up = false;
        if (!ending) ledger.breach(Ledger.Rule.CRASH, null, name + " ended by itself with " + ended.exitValue());
    }

    private boolean ready() {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(ASK_TIMEOUT_MS);
            socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    private void signal(String which) throws Exception {
        if (process.isAlive()) new ProcessBuilder("kill", "-" + which, "" + process.pid()).start().waitFor();
    }

    /** What a new process is started with, which counts as told to it; the one before may not have heard all of it. */
    private void learnList() {
        known = directory.since(-1,
                entry -> ledger.told(name, entry.getKey(), entry.getValue()));
    }

    /** SIGTERM, then SIGKILL as soon as the page allows, then a new start on the list as it was at the end. */
    void restart() throws Exception {
        ending = true;
        toldToEnd = process;
        double toldMs = Ledger.nowMs();
        process.destroy();
        double killAfterMs = Math.min(settings.deadlineMs, MOST_DEADLINE_MS) + KILL_GRACE_MS;
        if (!process.waitFor((long) killAfterMs, TimeUnit.MILLISECONDS)) kill(toldMs + KILL_GRACE_MS);
        up = false;
        learnList();
        start();
    }

    /** A new configuration, and shortly after the signal to end. */
    void reloadAndRestart() throws Exception {
        Thread moving = new Thread(() -> {
            try {
                moveDiscovery(0, 0);
            } catch (Exception e) {
                ledger.breach(Ledger.Rule.CRASH, null, name + " could not be told of a new configuration: " + e);
            }
        });
        moving.start();
        TimeUnit.MILLISECONDS.sleep(RELOAD_BEFORE_END_MS);
        restart();
        moving.join();
    }

    /** True from the signal to end until it is gone: clients send on connections that are still open. */
    boolean drains() {
        return ending && !killed && process.isAlive();
    }

    /** SIGKILL and a new start. */
    void crashAndStart() throws Exception {
        ending = true;
        up = false;
        toldToEnd = process;
        kill(Double.POSITIVE_INFINITY);
        learnList();
        start();
    }

    private void kill(double oweFromMs) throws InterruptedException {
        killed = true;
        ledger.killed(name, oweFromMs);
        process.destroyForcibly();
        process.waitFor();
        ledger.killed(name, Double.POSITIVE_INFINITY);
    }

    /** A new configuration moves discovery; the old agent closes what is open after 1.5 s. */
    void moveDiscovery(int configErrno, int failForMs) throws Exception {
        DiscoveryAgent old = agent;
        agent = new DiscoveryAgent(name, directory, ledger);
        shim.set(ShimControl.Field.OPEN_ERRNO, configErrno);
        writeConfig();
        signal("HUP");
        TimeUnit.MILLISECONDS.sleep(failForMs);
        shim.set(ShimControl.Field.OPEN_ERRNO, 0);
        old.close();
        TimeUnit.MILLISECONDS.sleep(1_500);
        old.silence(true);
    }

    /** Holds the whole process up; one shell sends both signals, as two would take longer than the pause itself. */
    void stall(int forMs) throws Exception {
        if (!process.isAlive()) return;
        String script = "kill -STOP " + process.pid() + "; sleep " + forMs / 1_000.0 + "; kill -CONT " + process.pid();
        double startMs = Ledger.nowMs();
        new ProcessBuilder("/bin/sh", "-c", script).start().waitFor();
        ledger.heldUp(name, Ledger.nowMs() - startMs);
    }

    DiscoveryAgent agent() {
        return agent;
    }

    Path log() {
        return folder.resolve("log");
    }

    @Override
    public void close() throws IOException {
        ending = true;
        process.destroyForcibly();
        agent.close();
    }
}
