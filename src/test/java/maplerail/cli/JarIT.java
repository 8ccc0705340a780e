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

/** Runs the packaged program with the commands of the deploy file and talks to it over sockets. */
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

    private Process startWithFewDescriptors(GatewayFixture fixture) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, fixture.config("127.0.0.1:0"));
        return start("ulimit -n " + FEW_DESCRIPTORS + "; " + GatewayProgram.command("run"), config.toString());
    }

    @Test
    void theProgramServesAndFinishesAcceptedRequestsAfterSigterm() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            long startNanos = System.nanoTime();
            Process gateway = start(GatewayProgram.command("run"), config.toString());
            try {
                int port = program.readyPort();
                assertThat(System.nanoTime() - startNanos).as("time until a restarted gateway is ready")
                        .isLessThan(10_000_000_000L);
                try (Socket client = new Socket("127.0.0.1", port)) {
                    client.getOutputStream().write(GatewayFixture.request("a1", "lookup", "5.0")
                            .getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = GatewayFixture.take(streams);
                    gateway.destroy(); // SIGTERM
                    await("draining",
                            () -> program.exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").contains(" 503 "));
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

    /** Guards against the default action of SIGHUP, which would end the program. */
    @Test
    void aSighupChangesDiscoveryAndKeepsOpenRequests() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        StandIn.Handler startStream = x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(startStream);
                StandIn nextWriter = new StandIn(startStream);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayFixture next = new GatewayFixture().engine("r", "prefill", reader).engine("w2", "decode",
                        nextWriter)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            Process gateway = start(
                    "RELAY_DISCOVERY=" + fixture.discovery().address() + " " + GatewayProgram.command("run"),
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
                            await("error logged", () -> log().contains("config.settings.lanes: missing"));
                    }
                    await("reloaded", () -> log().contains("discovery is at"));
                    await("watched", () -> next.discovery().count("GET /api/targets?index=") > 0);
                    stream.chunk("data: [DONE]\n\n");
                    stream.endStream();
                    client.getOutputStream()
                            .write(GatewayFixture.request("a2", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    await("the new list is used", () -> nextWriter.count("POST") == 1);
                    gateway.destroy();
                    stream = GatewayFixture.take(streams);
                    stream.chunk("data: [DONE]\n\n");
                    stream.endStream();
                    assertThat(GatewayFixture.readAll(client.getInputStream())).contains("[DONE]")
                            .endsWith("\r\n0\r\n\r\n");
                }
                await("ended", () -> !gateway.isAlive());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /**
     * A file that is unreadable or incomplete for a moment must not leave a gateway with a discovery address that no
     * longer answers.
     */
    @Test
    void aConfigurationThatCannotBeReadAtTheSignalIsRetried() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayFixture next = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            Process gateway = start(GatewayProgram.command("run"), config.toString());
            try {
                await("listening", () -> program.port() > 0);
                Files.writeString(config, next.config("127.0.0.1:0").substring(0, 100));
                assertThat(new ProcessBuilder("kill", "-HUP", "" + gateway.pid()).start().waitFor()).isZero();
                await("error logged", () -> log().contains("the new configuration is not used"));
                Files.writeString(config, next.config("127.0.0.1:0"));
                await("reloaded", () -> log().contains("discovery is at"));
                await("asked", () -> next.discovery().count("GET /api/targets") > 0);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /**
     * The kernel has already accepted connections in the backlog: they must not wait for seconds once descriptors are
     * free.
     */
    @Test
    void aGatewayThatRanOutOfDescriptorsAcceptsAgainOnceSomeAreFree() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            Process gateway = startWithFewDescriptors(fixture);
            List<Socket> silent = new ArrayList<>();
            try {
                int port = program.readyPort();
                for (int i = 0; i < 2 * FEW_DESCRIPTORS; i++) silent.add(new Socket("127.0.0.1", port));
                // The gateway closes connections that send nothing, which frees descriptors.
                assertThat(silent.get(0).getInputStream().read()).isNegative();
                for (Socket socket : silent) socket.close();
                long closedNanos = System.nanoTime();
                assertThat(program.exchange(GatewayFixture.request("a1", "lookup", "5.0"))).contains("[DONE]");
                assertThat(System.nanoTime() - closedNanos).as("time until a client is served")
                        .isLessThan(1_000_000_000L);
            } finally {
                gateway.destroyForcibly();
                for (Socket socket : silent) socket.close();
            }
        }
    }

    /** The deadline keeps running while accept fails: engines must be sent what is left of it. */
    @Test
    void aRequestThatWaitedForAcceptIsPassedOnWithItsRemainingTime() throws Exception {
        BlockingQueue<Double> remainingS = GatewayFixture.queue();
        try (StandIn reader = new StandIn(x -> {
            if (x.method.equals("POST")) remainingS.add(Double.parseDouble(x.headers.get("req-deadline")));
            x.reply(202, "{\"cached_tokens\":0}");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            Process gateway = startWithFewDescriptors(fixture);
            List<Socket> silent = new ArrayList<>();
            try {
                int port = program.readyPort();
                for (int i = 0; i < FEW_DESCRIPTORS; i++) silent.add(new Socket("127.0.0.1", port));
                long sentNanos = System.nanoTime();
                assertThat(program.exchange(GatewayFixture.request("a1", "lookup", "9.0"))).contains("[DONE]");
                double maxWaitS = (System.nanoTime() - sentNanos) / 1e9;
                assertThat(maxWaitS).as("time in the backlog").isGreaterThan(1);
                // The wait includes time after the request was passed on, which is longer on a busy machine.
                assertThat(GatewayFixture.take(remainingS)).isLessThan(9 - maxWaitS + 0.15 + 0.5);
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
    void theProgramStartsFromTheClassArchiveOfTheBuild() throws Exception {
        Process version = start(
                GatewayProgram.command("run").replaceFirst("-XX:SharedArchiveFile", "-Xshare:on $0")
                        .replace("-Xshare:auto", "")
                        .replaceFirst("serve$", "version"),
                null);
        assertThat(version.waitFor()).isZero();
    }

    @Test
    void badConfigurationExitsWith2() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{}");
        Process gateway = start(GatewayProgram.command("run"), config.toString());
        assertThat(gateway.waitFor()).isEqualTo(2);
        assertThat(Files.readString(folder.resolve("log"))).contains("config.settings: missing");
    }
}
