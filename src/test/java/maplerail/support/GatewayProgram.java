package maplerail.support;

import static maplerail.support.GatewayFixture.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The packaged program as a process, started by a command of the deploy file as on the platform, logging to a file. */
public final class GatewayProgram implements AutoCloseable {
    private final Path log;
    private final Process process;

    private GatewayProgram(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Returns the command under a key of the deploy file. */
    public static String command(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith(key + " = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    /** Starts a command; {@code config} may be null if the command reads no configuration. */
    public static GatewayProgram start(Path folder, String command, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        if (config != null) builder.environment().put("RELAY_CONFIG", config.toString());
        Path log = folder.resolve("log");
        return new GatewayProgram(builder.redirectError(log.toFile()).start(), log);
    }

    /** Starts a gateway with a configuration, which is written to the folder. */
    public static GatewayProgram serve(Path folder, String config) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        return start(folder, command("run"), file);
    }

    /** The process of the program. */
    public Process process() {
        return process;
    }

    /** Everything that the program has written to standard error so far. */
    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return "";
        }
    }

    /** The port that the program has logged as its listening port; 0 before that. */
    public int port() {
        Matcher match = Pattern.compile("listens on \\S*:(\\d+)\\s").matcher(log());
        return match.find() ? Integer.parseInt(match.group(1)) : 0;
    }

    /** Waits until the program is ready, and returns its port. */
    public int readyPort() throws InterruptedException {
        await("listening", () -> port() > 0);
        await("ready", () -> exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200"));
        return port();
    }

    /** Sends a request on a new connection and returns everything read until that ends; empty if it cannot connect. */
    public String exchange(String request) {
        try (Socket socket = new Socket("127.0.0.1", port())) {
            socket.getOutputStream().write(request.replaceFirst("\r\n", "\r\nConnection: close\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            return GatewayFixture.readAll(socket.getInputStream());
        } catch (IOException e) {
            return "";
        }
    }

    /** Sends a signal to the process. */
    public void signal(String name) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        if (status != 0) throw new IOException("the signal could not be sent to the program");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
