package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a gateway process one of whose threads dies, as it does when the heap is full. */
class DeadThreadIT {
    private static final int EXIT_STATUS = 70;

    @TempDir
    Path folder;

    private interface Check {
        void run(GatewayProgram gateway, Path signal) throws Exception;
    }

    private void withGateway(String thread, Check check) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, fixture.config("127.0.0.1:0"));
            Path signal = folder.resolve("signal");
            String command = "exec java -cp target/test-classes:target/maplerail.jar maplerail.cli.DyingThreadProgram "
                    + signal + " '" + thread + "'";
            try (GatewayProgram gateway = GatewayProgram.start(folder, command, config)) {
                gateway.readyPort();
                check.run(gateway, signal);
            }
        }
    }

    /** Connects, as a thread that waits for connections dies once it has something to do. */
    private static boolean hasEndedOnceAsked(GatewayProgram gateway) {
        try {
            new Socket("127.0.0.1", gateway.port()).close();
        } catch (IOException e) {
            return !gateway.process().isAlive(); // nobody listens any more
        }
        return !gateway.process().isAlive();
    }

    /** Guards against a process that goes on running and answers nobody, as nothing starts it again. */
    @ParameterizedTest
    @ValueSource(strings = {"XNIO-1 Accept", "XNIO-1 I/O-1"})
    void aProcessWhoseServingThreadHasDiedEnds(String thread) throws Exception {
        withGateway(thread, (gateway, signal) -> {
            Files.createFile(signal);
            await("the process has ended", () -> hasEndedOnceAsked(gateway));
            assertThat(gateway.process().exitValue()).as(gateway.log()).isEqualTo(EXIT_STATUS);
        });
    }

    /** Guards against ending a gateway that still serves. */
    @Test
    void aProcessGoesOnWithoutAThreadThatServesNobody() throws Exception {
        withGateway("none", (gateway, signal) -> {
            Files.createFile(signal);
            await("the thread has died", () -> gateway.log().contains("a thread that serves nobody dies"));
            assertThat(gateway.exchange(GatewayFixture.request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(gateway.process().isAlive()).isTrue();
        });
    }
}
