package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts the packaged program by the deploy file's own lines and speaks to it over sockets. */
class JarIT {
    private static final int FEW_DESCRIPTORS = 100;

    @TempDir
    Path folder;

    private GatewayProgram program;

    private Process start(String command, String config) throws Exception {
        program = GatewayProgram.start(folder, command, config == null ? null : Path.of(config));
        return program.process();
    }

    private String log() {
        return program.log();
    }

    private Process startWithFewDescriptors(GatewayFixture world) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, world.config("127.0.0.1:0"));
        return start("ulimit -n " + FEW_DESCRIPTORS + "; " + GatewayProgram.command("run"), config.toString());
    }

    @Test
    void theProgramServesAndFinishesWhatItTookAfterTheSignal() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        }); GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            long startNanos = System.nanoTime();
            Process gateway = start(GatewayProgram.command("run"), config.toString());
            try {
                int port = program.readyPort();
                assertThat(System.nanoTime() - startNanos).as("until a restarted one is back")
                        .isLessThan(10_000_000_000L);
                try (Socket client = new Socket("127.0.0.1", port)) {
                    client.getOutputStream().write(GatewayFixture.request("a1", "lookup", "5.0")
                            .getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = GatewayFixture.take(streams);
                    gateway.destroy(); // SIGTERM
                    await("draining", () -> program.exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").contains(" 503 "));
                    stream.chunk("data: [DONE]\n\n");
                    stream.endStream();
                    InputStream in = client.getInputStream();
                    assertThat(GatewayFixture.readAll(in)).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
                }
                await("ended", () -> !gateway.isAlive());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** The machine's own way with SIGHUP would end the program. */
    @Test
    void aHangupMovesTheWatchAndKeepsWhatIsOpen() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        StandIn.Handler begin = x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(begin);
                StandIn other = new StandIn(begin);
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayFixture next = new GatewayFixture().engine("r", "prefill", reader).engine("w2", "decode", other)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start(
                    "RELAY_DISCOVERY=" + world.discovery().address() + " " + GatewayProgram.command("run"),
                    config.toString());
            try {
                await("listening", () -> program.port() > 0);
                try (Socket client = new Socket("127.0.0.1", program.port())) {
                    client.getOutputStream()
                            .write(GatewayFixture.request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = GatewayFixture.take(streams);
                    for (String text : List.of("{", "{\"settings\":{}}", next.config("127.0.0.1:0"))) {
                        Files.writeString(config, text);
                        assertThat(new ProcessBuilder("kill", "-HUP", "" + gateway.pid()).start().waitFor()).isZero();
                        if (text.startsWith("{\"s"))
                            await("named", () -> log().contains("config.settings.lanes: missing"));
                    }
                    await("moved", () -> log().contains("discovery is at"));
                    await("watched", () -> next.discovery().count("GET /api/targets?index=") > 0);
                    stream.chunk("data: [DONE]\n\n");
                    stream.endStream();
                    client.getOutputStream()
                            .write(GatewayFixture.request("a2", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    await("the new list holds", () -> other.count("POST") == 1);
                    gateway.destroy();
                    stream = GatewayFixture.take(streams);
                    stream.endStream();
                    assertThat(GatewayFixture.readAll(client.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
                }
                await("ended", () -> !gateway.isAlive());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** A read that fails or is half done for a moment must not leave a gateway at a discovery that is gone. */
    @Test
    void aConfigurationThatCannotBeReadAtTheSignalIsReadAgain() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayFixture next = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start(GatewayProgram.command("run"), config.toString());
            try {
                await("listening", () -> program.port() > 0);
                Files.writeString(config, next.config("127.0.0.1:0").substring(0, 100));
                assertThat(new ProcessBuilder("kill", "-HUP", "" + gateway.pid()).start().waitFor()).isZero();
                await("noticed", () -> log().contains("the new configuration is not used"));
                Files.writeString(config, next.config("127.0.0.1:0"));
                await("moved", () -> log().contains("discovery is at"));
                await("asked", () -> next.discovery().count("GET /api/targets") > 0);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** What waits in the backlog has been accepted by this machine: it must not wait for seconds once there is room. */
    @Test
    void aGatewayThatRanOutOfDescriptorsAcceptsAgainAsSoonAsItHasSome() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Process gateway = startWithFewDescriptors(world);
            List<Socket> silent = new ArrayList<>();
            try {
                int port = program.readyPort();
                for (int i = 0; i < 2 * FEW_DESCRIPTORS; i++) silent.add(new Socket("127.0.0.1", port));
                // The gateway ends those that say nothing, which gives it descriptors again.
                assertThat(silent.get(0).getInputStream().read()).isNegative();
                for (Socket socket : silent) socket.close();
                long freeNanos = System.nanoTime();
                assertThat(program.exchange(GatewayFixture.request("a1", "lookup", "5.0"))).contains("[DONE]");
                assertThat(System.nanoTime() - freeNanos).as("until a client is served").isLessThan(1_000_000_000L);
            } finally {
                gateway.destroyForcibly();
                for (Socket socket : silent) socket.close();
            }
        }
    }

    /** Its client's clock ran while accept failed: engines are told what is left of its time. */
    @Test
    void aRequestThatWaitedForAcceptIsPassedOnWithWhatIsLeftOfItsTime() throws Exception {
        BlockingQueue<Double> left = GatewayFixture.queue();
        try (StandIn reader = new StandIn(x -> {
            if (x.method.equals("POST")) left.add(Double.parseDouble(x.headers.get("req-deadline")));
            x.reply(202, "{\"cached_tokens\":0}");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Process gateway = startWithFewDescriptors(world);
            List<Socket> silent = new ArrayList<>();
            try {
                int port = program.readyPort();
                for (int i = 0; i < FEW_DESCRIPTORS; i++) silent.add(new Socket("127.0.0.1", port));
                long sentNanos = System.nanoTime();
                assertThat(program.exchange(GatewayFixture.request("a1", "lookup", "9.0"))).contains("[DONE]");
                double waitedAtMost = (System.nanoTime() - sentNanos) / 1e9;
                assertThat(waitedAtMost).as("it waited in the backlog").isGreaterThan(1);
                // Some of that time was spent after it was passed on, on a machine that may be busy.
                assertThat(GatewayFixture.take(left)).isLessThan(9 - waitedAtMost + 0.15 + 0.5);
            } finally {
                gateway.destroyForcibly();
                for (Socket socket : silent) socket.close();
            }
        }
    }

    @Test
    void theAdapterAnswersAnEmptyBatchAndEndsWithItsInput() throws Exception {
        Process adapter = start(GatewayProgram.command("sim"), null);
        adapter.getOutputStream().write(new byte[16]);
        adapter.getOutputStream().close();
        assertThat(adapter.getInputStream().readAllBytes()).isEqualTo(new byte[8]);
        assertThat(adapter.waitFor()).isZero();
    }

    @Test
    void theBuildRecordsTheClassesFromWhichTheProgramStarts() throws Exception {
        Process version = start(
                GatewayProgram.command("run").replaceFirst("-XX:SharedArchiveFile", "-Xshare:on $0")
                        .replace("-Xshare:auto", "")
                        .replaceFirst("serve$", "version"),
                null);
        assertThat(version.waitFor()).isZero();
    }

    @Test
    void badConfigurationEndsItWith2() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{}");
        Process gateway = start(GatewayProgram.command("run"), config.toString());
        assertThat(gateway.waitFor()).isEqualTo(2);
        assertThat(Files.readString(folder.resolve("log"))).contains("config.settings: missing");
    }
}
