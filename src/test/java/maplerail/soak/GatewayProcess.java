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

/** A gateway process, started by the command in the deploy file, with its own agent, configuration and fault shim. */
final class GatewayProcess implements AutoCloseable {
    private static final double READY_TIMEOUT_MS = 10_000;
    private static final double ASSUMED_DELIVERED_AFTER_MS = 6_500;
    private static final double READ_FAULT_AFTERMATH_MS = 5_000;
    private static final double MAX_DRAIN_DEADLINE_MS = 3_000; // counted between SIGTERM and SIGKILL
    private static final double KILL_GRACE_MS = 700;
    private static final int RELOAD_BEFORE_END_MS = 800;
    private static final int READY_POLL_MS = 20;
    private static final int READY_CHECK_TIMEOUT_MS = 500;

    final String name;
    final int port;
    final ShimControl shim;
    private final Path folder;
    private final Path shimLibrary;
    private final String command;
    private final EngineDirectory directory;
    private final Ledger ledger;
    private final SoakSettings settings;
    private DiscoveryAgent agent;
    private String knownList = "";
    private long startCount;
    private volatile Process process;
    private volatile boolean up;
    private volatile boolean ending;
    private volatile boolean killed;
    private volatile Process endingProcess;
    private volatile double readyMs = Double.NaN;
    private volatile double lastReadFaultMs = Double.NEGATIVE_INFINITY;

    GatewayProcess(String name, Path folder, Path shimLibrary, String command, EngineDirectory directory, Ledger ledger,
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
        knownList = directory.changesSince(-1, entry -> {});
    }

    private Path config() {
        return folder.resolve("config.json");
    }

    private void writeConfig() throws IOException {
        Path next = folder.resolve("next");
        Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + agent.address() + "\",\"seed\":\"" + Long.toHexString(name.hashCode() * 31L + ++startCount)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"known\":" + knownList
                + ",\"settings\":"
                + settings.json() + "}");
        Files.move(next, config(), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** True while clients may use the gateway: it is ready and is not being stopped. */
    boolean acceptsClients() {
        return up && !ending;
    }

    /**
     * Records entries as delivered to this gateway once they have been published for some time, if the agent has
     * answered all the while.
     */
    void recordAssumedDeliveries() {
        double sinceMs = Math.max(agent.answeringSinceMs(), readyMs);
        if (!acceptsClients() || Double.isNaN(sinceMs)) return;
        double beforeMs = Ledger.nowMs() - ASSUMED_DELIVERED_AFTER_MS;
        if (sinceMs > beforeMs) return;
        directory.entries().forEach((engine, entry) -> {
            if (entry.changedMs() < beforeMs) ledger.delivered(name, engine, entry);
        });
    }

    /** True while reads of its sockets fail, or shortly after: a connection may then end for that reason alone. */
    boolean hasReadFaults() {
        return Ledger.nowMs() - lastReadFaultMs < READ_FAULT_AFTERMATH_MS;
    }

    void setReadFaults(int error, int permille, int maxIoBytes) {
        lastReadFaultMs = Ledger.nowMs() + (error == 0 ? 0 : READ_FAULT_AFTERMATH_MS);
        shim.set(ShimControl.Field.READ_ERRNO, error);
        shim.set(ShimControl.Field.READ_PERMILLE, permille);
        shim.set(ShimControl.Field.SHORT_IO, maxIoBytes);
    }

    /** Starts the process and waits until it is ready. */
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
        // The new process is set before the flags are cleared: the exit of the last one may not have been reported yet.
        ending = false;
        killed = false;
        Process started = process;
        started.onExit().thenAccept(this::exited);
        while (started.isAlive() && !isReady()) {
            if (Ledger.nowMs() - startMs > READY_TIMEOUT_MS) {
                ledger.recordBreach(Ledger.Rule.READY_IN_TIME, null,
                        name + " is not ready after " + READY_TIMEOUT_MS + " ms");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
        }
        readyMs = Ledger.nowMs();
        up = started.isAlive();
    }

    private void exited(Process ended) {
        // An intended exit may be reported only after the next start.
        if (ended != process || ended.equals(endingProcess)) return;
        up = false;
        if (!ending)
            ledger.recordBreach(Ledger.Rule.CRASH, null,
                    name + " exited unexpectedly with status " + ended.exitValue());
    }

    private boolean isReady() {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(READY_CHECK_TIMEOUT_MS);
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

    /**
     * Refreshes the list that a new process is started with, and records it as delivered; the last process may not
     * have received all of it.
     */
    private void refreshKnownList() {
        knownList = directory.changesSince(-1, entry -> ledger.delivered(name, entry.getKey(), entry.getValue()));
    }

    /** Sends SIGTERM, SIGKILL as soon as the protocol page allows, and starts again with the list as of the end. */
    void restart() throws Exception {
        ending = true;
        endingProcess = process;
        double signalledMs = Ledger.nowMs();
        process.destroy();
        double killAfterMs = Math.min(settings.deadlineMs, MAX_DRAIN_DEADLINE_MS) + KILL_GRACE_MS;
        if (!process.waitFor((long) killAfterMs, TimeUnit.MILLISECONDS)) kill(signalledMs + KILL_GRACE_MS);
        up = false;
        refreshKnownList();
        start();
    }

    /** Loads a new configuration and shortly after restarts the process. */
    void reloadAndRestart() throws Exception {
        Thread reload = new Thread(() -> {
            try {
                moveDiscovery(0, 0);
            } catch (Exception e) {
                ledger.recordBreach(Ledger.Rule.CRASH, null, name + " could not be given a new configuration: " + e);
            }
        });
        reload.start();
        TimeUnit.MILLISECONDS.sleep(RELOAD_BEFORE_END_MS);
        restart();
        reload.join();
    }

    /** True from SIGTERM until the process is gone: clients still send on connections that are open. */
    boolean isDraining() {
        return ending && !killed && process.isAlive();
    }

    /** Sends SIGKILL and starts again. */
    void crashAndStart() throws Exception {
        ending = true;
        up = false;
        endingProcess = process;
        kill(Double.POSITIVE_INFINITY);
        refreshKnownList();
        start();
    }

    private void kill(double mustAnswerFromMs) throws InterruptedException {
        killed = true;
        ledger.gatewayKilled(name, mustAnswerFromMs);
        process.destroyForcibly();
        process.waitFor();
        ledger.gatewayKilled(name, Double.POSITIVE_INFINITY);
    }

    /**
     * Loads a new configuration with another discovery address. The old agent stops listening once the configuration
     * is readable, and falls silent 1.5 s later.
     *
     * @param configErrno the error of opening the configuration file at first; 0 for none
     * @param failForMs for how long opening it fails
     */
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
        old.setSilent(true);
    }

    /** Pauses the whole process; one shell sends both signals, as two would take longer than the pause itself. */
    void stall(int forMs) throws Exception {
        if (!process.isAlive()) return;
        String script = "kill -STOP " + process.pid() + "; sleep " + forMs / 1_000.0 + "; kill -CONT " + process.pid();
        double startMs = Ledger.nowMs();
        new ProcessBuilder("/bin/sh", "-c", script).start().waitFor();
        ledger.gatewayPaused(name, Ledger.nowMs() - startMs);
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
