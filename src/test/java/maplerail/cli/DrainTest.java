package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.StandIn;
import maplerail.support.StoppableEngine;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;

class DrainTest {
    private static void send(Socket to, String request) throws Exception {
        to.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatWasTakenIsFinishedAndWhatStillArrivesIsServed() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket before = world.connect();
                Socket after = world.connect()) {
            send(before, request("a1", "lookup", "5.0"));
            StandIn.Exchange first = take(streams);
            world.gateway.drain();
            await("draining", () -> world.gateway.phase() == Phase.DRAINING);
            send(after, request("a2", "lookup", "5.0"));
            for (StandIn.Exchange stream : new StandIn.Exchange[] {first, take(streams)}) {
                stream.chunk("data: [DONE]\n\n");
                stream.endStream();
            }
            world.gateway.join();
            assertThat(GatewayFixture.readAll(before.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(GatewayFixture.readAll(after.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }

    /** A connection that a long stream keeps open brings requests for as long as it is there. */
    @Test
    void whatArrivesAfterTheTimeToArriveIsRefusedAndNotSentOn() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket client = world.connect()) {
            send(client, request("a1", "lookup", "5.0"));
            StandIn.Exchange first = take(streams);
            world.gateway.drain();
            await("nothing more is taken", () -> !world.gateway.phase().acceptsRequests());
            send(client, request("a2", "lookup", "5.0"));
            first.chunk("data: [DONE]\n\n");
            first.endStream();
            assertThat(GatewayFixture.readAll(client.getInputStream())).contains("[DONE]", "\r\n0\r\n\r\nHTTP/1.1 503");
            world.gateway.join();
            assertThat(reader.count("POST")).isEqualTo(1);
        }
    }

    /** The close over the bytes that nobody reads any more would reset the connection. */
    @Test
    void anAnswerIsWholeThoughItsClientHasSentMore() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        String event = "data: " + "x".repeat(1_000) + "\n\n";
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            streams.add(x);
        });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket client = world.connect()) {
            world.gateway.drain();
            await("draining", () -> world.gateway.phase() == Phase.DRAINING);
            send(client, request("a1", "lookup", "60"));
            StandIn.Exchange stream = take(streams);
            send(client, request("a2", "lookup", "60") + request("a3", "lookup", "60").substring(0, 40));
            for (int i = 0; i < 100; i++) stream.chunk(event);
            stream.endStream();
            String answer = GatewayFixture.readAll(client.getInputStream());
            assertThat(answer.split("data: x", -1)).hasSize(101);
            assertThat(answer).contains("\r\n0\r\n\r\n").doesNotContain("<reset>");
        }
    }

    @Test
    void connectionsThatEndedInMidRequestDoNotHoldUpTheExit() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        }); GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start()) {
            Socket leaver = world.connect();
            send(leaver, request("a1", "lookup", "5.0"));
            take(streams);
            leaver.close();
            Socket broken = world.connect();
            send(broken, request("a2", "lookup", "5.0"));
            take(streams).reset();
            assertThat(GatewayFixture.readAll(broken.getInputStream())).doesNotContain("\r\n0\r\n");
            world.gateway.drain();
            Thread joining = new Thread(() -> {
                try {
                    world.gateway.join();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            joining.setDaemon(true);
            joining.start();
            joining.join(20_000);
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }

    /** What a gateway that is gone holds, nobody lets go. */
    @Test
    void theExitWaitsForAReleaseThatIsUnderWay() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        try (StandIn reader = new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) answered.await();
            exchange.reply(exchange.method.equals("DELETE") ? 204 : 202, "");
        });
                StoppableEngine writer = new StoppableEngine(StandIn.Exchange::awaitClose);
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer.address(),
                        "in_service").start();
                Socket client = world.connect()) {
            writer.stop();
            send(client, request("a1", "repair-order", "1.0"));
            await("the state is let go", () -> reader.count("DELETE") > 0);
            world.gateway.drain();
            assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 5");
            long answeredNanos = System.nanoTime();
            await("several looks", () -> System.nanoTime() - answeredNanos > 200_000_000L);
            assertThat(world.gateway.phase()).isNotEqualTo(Phase.STOPPED);
            answered.countDown();
            world.gateway.join();
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }
}
