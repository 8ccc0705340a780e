package maplerail.support;

import static maplerail.support.World.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The packaged program, started by a line of the deploy file as the platform starts it, with its log in a folder. */
public final class GatewayProgram implements AutoCloseable {
    private final Path log;
    private final Process process;

    private GatewayProgram(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** The command that the deploy file has under a key. */
    public static String command(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith(key + " = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    /** Starts a command; {@code config} may be null where it reads none. */
    public static GatewayProgram start(Path folder, String command, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        if (config != null) builder.environment().put("RELAY_CONFIG", config.toString());
        Path log = folder.resolve("log");
        return new GatewayProgram(builder.redirectError(log.toFile()).start(), log);
    }

    /** Starts a gateway on a configuration, which is written to the folder. */
    public static GatewayProgram serve(Path folder, String config) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        return start(folder, command("run"), file);
    }

    /** The process itself. */
    public Process process() {
        return process;
    }

    /** All that it has written to standard error. */
    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return "";
        }
    }

    /** The port that the program says it listens on; 0 before it does. */
    public int port() {
        Matcher said = Pattern.compile("listens on \\S*:(\\d+)\\s").matcher(log());
        return said.find() ? Integer.parseInt(said.group(1)) : 0;
    }

    /** Waits until the program is ready, and returns its port. */
    public int readyPort() throws InterruptedException {
        await("listening", () -> port() > 0);
        await("ready", () -> say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200"));
        return port();
    }

    /** Sends a request on a connection of its own and reads until that ends; empty if there is no connection. */
    public String say(String request) {
        try (Socket socket = new Socket("127.0.0.1", port())) {
            socket.getOutputStream().write(request.replaceFirst("\r\n", "\r\nConnection: close\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            return World.readAll(socket.getInputStream());
        } catch (IOException e) {
            return "";
        }
    }

    /** Sends it a signal. */
    public void signal(String name) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        if (status != 0) throw new IOException("the signal could not be sent");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
