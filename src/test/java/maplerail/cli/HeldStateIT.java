package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import maplerail.support.FullBacklog;
import maplerail.support.GatewayProgram;
import maplerail.support.HeldTimes;
import maplerail.support.StandIn;
import maplerail.support.StoppableEngine;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a gateway process with writers whose processes are stopped. The kernel still accepts connections and bytes for a
 * stopped process: a write that it has received does not count as in flight, and the state that it should have fetched
 * must be released in time.
 */
class HeldStateIT {
    private static final int WARM_REQUESTS = 6;

    @TempDir
    Path folder;

    private final HeldTimes times = new HeldTimes();

    /** A reader that records when it starts to hold a state and when that is released. */
    private StandIn reader() throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                times.released(exchange.target.replaceFirst(".*/", ""));
                exchange.reply(204, "");
                return;
            }
            times.held(exchange.headers.get("req-id"));
            exchange.reply(202, "{\"cached_tokens\":0}");
        });
    }

    private static StoppableEngine writer(int firstTokenMs) throws Exception {
        return new StoppableEngine(exchange -> {
            if (exchange.method.equals("DELETE")) {
                exchange.reply(204, "");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(firstTokenMs);
            exchange.startStream();
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    private static GatewayFixture newFixture(StandIn reader, String... writers) throws Exception {
        GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader);
        for (int i = 0; i < writers.length; i++) fixture.engine("w" + i, "decode", writers[i], "in_service");
        return fixture;
    }

    /** The connection is established by the kernel's backlog, so it does not prove that the writer runs. */
    @Test
    void aStateIsReleasedInTimeThoughAConnectionToTheStoppedWriterIsEstablished() throws Exception {
        try (StandIn reader = reader();
                StoppableEngine writer = writer(0);
                GatewayFixture fixture = newFixture(reader, writer.address());
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            writer.stop();
            gateway.exchange(GatewayFixture.request("a1", "repair-order", "1.5"));
            times.assertReleasedInTime("a1");
        }
    }

    /** A long typical time to the first token must not delay the release past the limit. */
    @Test
    void aStateIsReleasedInTimeThoughWritersAreUsuallySlow() throws Exception {
        try (StandIn reader = reader();
                StoppableEngine writer = writer(300);
                GatewayFixture fixture = newFixture(reader, writer.address());
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            for (int i = 0; i < WARM_REQUESTS; i++) {
                assertThat(gateway.exchange(GatewayFixture.request("warm" + i, "repair-order", "5.0")))
                        .contains("[DONE]");
            }
            writer.stop();
            gateway.exchange(GatewayFixture.request("a1", "repair-order", "1.5"));
            times.assertReleasedInTime("a1");
        }
    }

    /** The time counts while one writer accepts no connection and another has received the write but is stopped. */
    @Test
    void aStateIsReleasedInTimeThoughItsRequestMovesBetweenWriters() throws Exception {
        try (StandIn reader = reader();
                FullBacklog unreachable = new FullBacklog();
                StoppableEngine one = writer(0);
                StoppableEngine other = writer(0);
                GatewayFixture fixture = newFixture(reader, unreachable.address(), one.address(), other.address());
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            one.stop();
            other.stop();
            for (int i = 0; i < WARM_REQUESTS; i++) gateway.exchange(GatewayFixture.request("a" + i, "lookup", "2.0"));
            for (int i = 0; i < WARM_REQUESTS; i++) times.assertReleasedInTime("a" + i);
        }
    }
}
