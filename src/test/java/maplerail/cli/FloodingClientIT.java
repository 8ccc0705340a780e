package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a gateway process with one client that sends small requests at full speed on one connection. */
class FloodingClientIT {
    private static final double FLOOD_MS = 4_000;
    private static final double INTERVAL_MS = 50; // between the requests of other clients
    private static final double MAX_ANSWER_MS = 1_200; // the first-token goal of their class
    private static final int REQUESTS_PER_WRITE = 50;
    private static final long SEED = 47;

    @TempDir
    Path folder;

    private volatile boolean stopped;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static Function<String, String> requests(String kind) {
        return switch (kind) {
            case "sound" -> name -> GatewayFixture.request(name, "lookup", "4.0");
            case "unknown path" -> name -> "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
            case "new classes" -> name -> GatewayFixture.request(name, "kind" + name, "4.0");
            default -> name -> GatewayFixture.request(name, "lookup", "4.0").replace("7f3a9c21e0b4d655", name)
                    .replace("prompt_len=500", "prompt_len=500,prefix=" + name + ",prefix_len=100")
                    .replace("Host: app.svc", "Host: h" + name + "\r\nX-" + name + ": " + name);
        };
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends on one connection after another until the flood ends; the gateway may close each of them. */
    private void flood(int port, Function<String, String> request) {
        Random random = new Random(SEED);
        while (!stopped) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                startThread(() -> discardAnswers(socket));
                OutputStream out = socket.getOutputStream();
                while (!stopped) {
                    StringBuilder batch = new StringBuilder();
                    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                        batch.append(request.apply(Long.toHexString(random.nextLong())));
                    }
                    out.write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void discardAnswers(Socket socket) {
        byte[] buffer = new byte[65_536];
        try {
            while (socket.getInputStream().read(buffer) >= 0) continue;
        } catch (IOException e) {
            return;
        }
    }

    /** Guards against a client at full speed that takes the loop or the memory from all others. */
    @ParameterizedTest
    @ValueSource(strings = {"sound", "unknown path", "new classes", "new names"})
    void aClientThatSendsAtFullSpeedDelaysNoOther(String kind) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            startThread(() -> flood(port, requests(kind)));
            List<Double> answersMs = new ArrayList<>();
            double endMs = nowMs() + FLOOD_MS;
            for (int i = 0; nowMs() < endMs; i++) {
                double sentMs = nowMs();
                assertThat(gateway.exchange(GatewayFixture.request("u" + i, "lookup", "4.0"))).as(gateway.log())
                        .startsWith("HTTP/1.1 200");
                answersMs.add(nowMs() - sentMs);
                GatewayFixture.pause(INTERVAL_MS);
            }
            stopped = true;
            assertThat(answersMs).as(gateway.log()).allMatch(ms -> ms < MAX_ANSWER_MS);
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
        }
    }
}
