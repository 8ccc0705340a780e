package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the log of the real program says of requests whose connection ends without their answer. */
class RequestLogIT {
    @TempDir
    Path folder;

    /** The stream's line names one request; the other one was taken too and gets no answer. */
    @Test
    void aRequestBehindABrokenStreamIsTold() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(x -> {
                    x.startStream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, world.config("127.0.0.1:0"));
                Socket client = new Socket("127.0.0.1", gateway.readyPort())) {
            String both = GatewayFixture.request("a1", "lookup", "5.0") + GatewayFixture.request("a2", "lookup", "5.0");
            client.getOutputStream().write(both.getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readUntil(client, "data: 1\n\n")).startsWith("HTTP/1.1 200");
            take(streams).reset();
            assertThat(GatewayFixture.readAll(client.getInputStream())).doesNotContain("\r\n0\r\n");
            await("told", () -> gateway.log().contains("request a1 kind 0 broken (RESET)"));
            assertThat(gateway.log()).contains("request a1: ends its connection, and with it requests [a2]");
        }
    }
}
