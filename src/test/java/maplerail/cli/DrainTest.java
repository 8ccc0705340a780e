package maplerail.cli;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.StandIn;
import maplerail.support.StoppableEngine;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class DrainTest {
    private static final int SEND_ON_AFTER_MS = 100;
    private static final double EARLIEST_KILL_MS = 3_700; // after the signal to end, for long deadlines

    private static void send(Socket socket, String request) throws Exception {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    /** A writer that begins each stream with an event and leaves the rest to the test. */
    private static StandIn streamingWriter(BlockingQueue<StandIn.Exchange> streams) throws Exception {
        return new StandIn(x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
    }

    private interface Scenario {
        void run(GatewayFixture fixture, BlockingQueue<StandIn.Exchange> streams, StandIn reader) throws Exception;
    }

    /** Runs a scenario with a gateway whose streams are left to it. */
    private static void withStreams(Scenario scenario) throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = streamingWriter(streams);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            scenario.run(fixture, streams, reader);
        }
    }

    private static void end(StandIn.Exchange stream) throws Exception {
        stream.chunk("data: [DONE]\n\n");
        stream.endStream();
    }

    @Test
    void requestsAcceptedBeforeAndDuringTheDrainAreServed() throws Exception {
        withStreams((fixture, streams, reader) -> {
            try (Socket before = fixture.connect();
                    Socket after = fixture.connect()) {
                send(before, request("a1", "lookup", "5.0"));
                StandIn.Exchange first = take(streams);
                fixture.gateway.drain();
                await("draining", () -> fixture.gateway.phase() == Phase.DRAINING);
                send(after, request("a2", "lookup", "5.0"));
                for (StandIn.Exchange stream : new StandIn.Exchange[] {first, take(streams)}) {
                    end(stream);
                }
                fixture.gateway.join();
                assertThat(GatewayFixture.readAll(before.getInputStream())).contains("[DONE]")
                        .endsWith("\r\n0\r\n\r\n");
                assertThat(GatewayFixture.readAll(after.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
                assertThat(fixture.gateway.phase()).isEqualTo(Phase.STOPPED);
            }
        });
    }

    /** A connection that a long stream keeps open can carry further requests for as long as the stream lasts. */
    @Test
    void aRequestAfterTheGracePeriodIsRefusedAndNotPassedOn() throws Exception {
        withStreams((fixture, streams, reader) -> {
            try (Socket client = fixture.connect()) {
                send(client, request("a1", "lookup", "5.0"));
                StandIn.Exchange first = take(streams);
                fixture.gateway.drain();
                await("no more requests are accepted", () -> !fixture.gateway.phase().acceptsRequests());
                send(client, request("a2", "lookup", "5.0"));
                end(first);
                assertThat(GatewayFixture.readAll(client.getInputStream())).contains("[DONE]",
                        "\r\n0\r\n\r\nHTTP/1.1 503");
                fixture.gateway.join();
                assertThat(reader.count("POST")).isEqualTo(1);
            }
        });
    }

    /** Guards against requests that were read behind others and get no answer, as the next answer closes their connection. */
    @ParameterizedTest
    @ValueSource(ints = {2, 4, 8})
    void requestsThatWereSentAtOnceBeforeTheDrainAreAllAnswered(int count) throws Exception {
        withStreams((fixture, streams, reader) -> {
            try (Socket client = fixture.connect()) {
                StringBuilder requests = new StringBuilder();
                for (int i = 1; i <= count; i++) requests.append(request("a" + i, "lookup", "5.0"));
                send(client, requests.toString());
                StandIn.Exchange first = take(streams);
                fixture.gateway.drain();
                await("draining", () -> fixture.gateway.phase() == Phase.DRAINING);
                end(first);
                StandIn.Exchange second = take(streams);
                await("no more requests are accepted", () -> !fixture.gateway.phase().acceptsRequests());
                end(second);
                String answers = GatewayFixture.readAll(client.getInputStream());
                assertThat(answers.split("HTTP/1\\.1 200 ", -1)).as("served").hasSize(2 + 1);
                assertThat(answers.split("HTTP/1\\.1 503 ", -1)).as("refused, as they were not begun")
                        .hasSize(count - 2 + 1);
                assertThat(answers).doesNotContain("<reset>");
                assertThat(answers.split("Connection: close", -1)).as("closed behind the last one").hasSize(2);
                fixture.gateway.join();
                assertThat(fixture.gateway.phase()).isEqualTo(Phase.STOPPED);
            }
        });
    }

    /** Guards against a close with unread bytes, which resets the connection and cuts the answer off. */
    @Test
    void anAnswerIsCompleteThoughItsClientHasSentMore() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        String event = "data: " + "x".repeat(1_000) + "\n\n";
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            if (x.headers.get("req-id").equals("a1")) streams.add(x);
            else end(x);
        });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = fixture.connect()) {
            fixture.gateway.drain();
            await("draining", () -> fixture.gateway.phase() == Phase.DRAINING);
            send(client, request("a1", "lookup", "60"));
            StandIn.Exchange stream = take(streams);
            send(client, request("a2", "lookup", "60") + request("a3", "lookup", "60").substring(0, 40));
            for (int i = 0; i < 100; i++) stream.chunk(event);
            end(stream);
            String answer = GatewayFixture.readAll(client.getInputStream());
            assertThat(answer.split("data: x", -1)).hasSize(101);
            assertThat(answer).contains("\r\n0\r\n\r\n").doesNotContain("<reset>");
        }
    }

    /** When a client sends more although its answer says that the connection ends with it. */
    enum SendsOn {
        AT_ONCE, AFTER_THE_GRACE_PERIOD
    }

    /** Guards against a close behind the last answer that resets the connection of a client which reads slowly and sends on. */
    @ParameterizedTest
    @EnumSource
    void theLastAnswerIsCompleteThoughItsClientSendsOnBeforeItHasReadIt(SendsOn when) throws Exception {
        String event = "data: " + "x".repeat(1_000) + "\n\n";
        withStreams((fixture, streams, reader) -> {
            try (Socket client = new Socket()) {
                client.setReceiveBufferSize(4_096);
                client.connect(fixture.gateway.address());
                fixture.gateway.drain();
                await("draining", () -> fixture.gateway.phase() == Phase.DRAINING);
                send(client, request("a1", "lookup", "5.0"));
                StandIn.Exchange stream = take(streams);
                if (when == SendsOn.AFTER_THE_GRACE_PERIOD)
                    await("no more requests are accepted", () -> !fixture.gateway.phase().acceptsRequests());
                for (int i = 0; i < 300; i++) stream.chunk(event);
                end(stream);
                await("answered", () -> fixture.gateway.retainedRequests() == 0);
                GatewayFixture.pause(SEND_ON_AFTER_MS);
                send(client, request("a2", "lookup", "5.0"));
                GatewayFixture.pause(SEND_ON_AFTER_MS);
                String answer = GatewayFixture.readAll(client.getInputStream());
                assertThat(answer.split("data: x", -1)).hasSize(301);
                assertThat(answer).endsWith("\r\n0\r\n\r\n").contains("Connection: close");
                client.shutdownOutput();
                fixture.gateway.join();
                assertThat(reader.count("POST")).isEqualTo(1);
            }
        });
    }

    /** Guards against an exit that waits for a client which never closes its connection, or sends on for ever. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatDoesNotCloseDoesNotHoldUpTheExitUntilItIsKilled(boolean sendsOn) throws Exception {
        withStreams((fixture, streams, reader) -> {
            try (Socket client = fixture.connect()) {
                double startNanos = System.nanoTime();
                fixture.gateway.drain();
                await("draining", () -> fixture.gateway.phase() == Phase.DRAINING);
                send(client, request("a1", "lookup", "5.0"));
                end(take(streams));
                assertThat(GatewayFixture.readUntil(client, "\r\n0\r\n\r\n")).contains("[DONE]");
                if (sendsOn) sendUntilItFails(client);
                fixture.gateway.join();
                assertThat((System.nanoTime() - startNanos) / 1e6).isLessThan(EARLIEST_KILL_MS);
            }
        });
    }

    private static void sendUntilItFails(Socket client) {
        byte[] part = request("a2", "lookup", "5.0").repeat(100).getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> {
            while (true) client.getOutputStream().write(part);
        }).isInstanceOf(IOException.class);
    }

    @Test
    void connectionsThatEndedDuringARequestDoNotDelayTheExit() throws Exception {
        withStreams((fixture, streams, reader) -> {
            Socket abandoned = fixture.connect();
            send(abandoned, request("a1", "lookup", "5.0"));
            take(streams);
            abandoned.close();
            Socket broken = fixture.connect();
            send(broken, request("a2", "lookup", "5.0"));
            take(streams).reset();
            assertThat(GatewayFixture.readAll(broken.getInputStream())).doesNotContain("\r\n0\r\n");
            fixture.gateway.drain();
            Thread joiner = new Thread(() -> {
                try {
                    fixture.gateway.join();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            joiner.setDaemon(true);
            joiner.start();
            joiner.join(20_000);
            assertThat(fixture.gateway.phase()).isEqualTo(Phase.STOPPED);
        });
    }

    /** No one else releases the states of a gateway that has exited. */
    @Test
    void theExitWaitsForAPendingRelease() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        try (StandIn reader = new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) answered.await();
            exchange.reply(exchange.method.equals("DELETE") ? 204 : 202, "");
        });
                StoppableEngine writer = new StoppableEngine(StandIn.Exchange::awaitClose);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer.address(),
                                "in_service")
                        .start();
                Socket client = fixture.connect()) {
            writer.stop();
            send(client, request("a1", "repair-order", "1.0"));
            await("the release is sent", () -> reader.count("DELETE") > 0);
            fixture.gateway.drain();
            assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 5");
            long answeredNanos = System.nanoTime();
            await("several polls", () -> System.nanoTime() - answeredNanos > 200_000_000L);
            assertThat(fixture.gateway.phase()).isNotEqualTo(Phase.STOPPED);
            answered.countDown();
            fixture.gateway.join();
            assertThat(fixture.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }
}
