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

/** Tests which log lines a gateway process writes for requests whose connection ends before their answer. */
class RequestLogIT {
    @TempDir
    Path folder;

    /** A log line on a broken stream must also name the pipelined request behind it, which gets no answer either. */
    @Test
    void aRequestBehindABrokenStreamIsLogged() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(x -> {
                    x.startStream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"));
                Socket client = new Socket("127.0.0.1", gateway.readyPort())) {
            String requests = GatewayFixture.request("a1", "lookup", "5.0")
                    + GatewayFixture.request("a2", "lookup", "5.0");
            client.getOutputStream().write(requests.getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readUntil(client, "data: 1\n\n")).startsWith("HTTP/1.1 200");
            take(streams).reset();
            assertThat(GatewayFixture.readAll(client.getInputStream())).doesNotContain("\r\n0\r\n");
            await("logged", () -> gateway.log().contains("request a1 kind 0 broken (RESET)"));
            assertThat(gateway.log()).contains("request a1: closing its connection drops the pipelined requests [a2]");
        }
    }
}
