package maplerail.front;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.JsonValue;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tool calls beside a streaming answer, against fake tool servers; counts side effects and final answers. */
class ToolCallTest {
    private static final String RESULT = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"lamp\":1.50}}";

    /** A client that records the events and the final answers that it receives. */
    private static final class Client implements WebSocket.Listener {
        final BlockingQueue<JsonValue> answers = GatewayFixture.queue();
        final BlockingQueue<String> events = GatewayFixture.queue();
        final StringBuilder buffer = new StringBuilder();
        final AtomicInteger answerCount = new AtomicInteger();
        String lastText;
        WebSocket socket;

        static Client connect(GatewayFixture fixture, String team) {
            Client client = new Client();
            client.socket = HttpClient.newHttpClient().newWebSocketBuilder().header("Req-Owner", team)
                    .buildAsync(URI.create("ws://127.0.0.1:" + fixture.gateway.rpcAddress().getPort() + "/rpc"), client)
                    .join();
            return client;
        }

        @Override
        public CompletionStage<?> onText(WebSocket source, CharSequence text, boolean last) {
            buffer.append(text);
            if (last) {
                JsonValue message = JsonValue.parseObject("message", buffer.toString());
                if (message.at("method").present()) {
                    events.add(message.at("params").at("data").text());
                } else {
                    lastText = buffer.toString();
                    answerCount.incrementAndGet();
                    answers.add(message);
                }
                buffer.setLength(0);
            }
            source.request(1);
            return null;
        }

        void send(String text) {
            socket.sendText(text, true).join();
        }

        void call(int id, String tool) {
            send("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\"" + tool
                    + "\",\"arguments\":{\"column\":\"C-17\",\"height\":8.10}}}");
        }

        void startAnswer(int id) {
            send("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"answers/stream\",\"params\":{\"kind\":\"lookup\","
                    + "\"deadline_ms\":5000,\"max_out\":100,\"body\":{\"stream\":true}}}");
        }

        JsonValue nextAnswer() throws InterruptedException {
            return take(answers);
        }
    }

    private static String toolsConfig(String serversJson, String deadlineMs, int callsInFlight, int maxReplyBytes) {
        return """
                {"listen":"127.0.0.1:0",%s
                 "contracts":{"find":{"repeat":"pure","deadline_ms":%s,"most_argument_bytes":200,"most_reply_bytes":%d},
                  "raise":{"repeat":"side_effect","deadline_ms":%s,"most_argument_bytes":200,"most_reply_bytes":1000}},
                 "tools":{"columns.find":{"service":"records","contract":"find"},
                  "orders.raise":{"service":"records","contract":"raise"}},
                 "teams":{"cyngor-glannau":{"calls_per_s":100,"calls_in_flight":%d}}}"""
                .formatted(serversJson, deadlineMs, maxReplyBytes, deadlineMs, callsInFlight);
    }

    private static String serversJson(StandIn... servers) {
        String list = String.join("\",\"", java.util.Arrays.stream(servers).map(StandIn::address).toList());
        return "\"services\":{\"records\":{\"path\":\"/tool\",\"servers\":[\"" + list + "\"]}},";
    }

    private static GatewayFixture startFixture(StandIn... servers) throws Exception {
        return new GatewayFixture().start(toolsConfig(serversJson(servers), "5000", 4, 1000));
    }

    private static StandIn toolServer(AtomicInteger effects) throws Exception {
        return new StandIn(x -> {
            effects.incrementAndGet();
            x.reply(200, RESULT);
        });
    }

    @Test
    void callIsAnsweredWhileAnAnswerStreamsAndItsWriterDrains() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        BlockingQueue<StandIn.Exchange> calls = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: one\n\n");
            streams.add(x);
        });
                StandIn tool = new StandIn(calls::add);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start(toolsConfig(serversJson(tool), "5000", 4, 1000))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.startAnswer(1);
            assertThat(take(client.events)).isEqualTo("one");
            client.call(2, "orders.raise");
            StandIn.Exchange call = take(calls);
            fixture.engine("w", "decode", writer, "terminating");
            StandIn.Exchange stream = take(streams);
            stream.chunk("data: two\n\n");
            assertThat(take(client.events)).isEqualTo("two");
            assertThat(call.body).contains("\"height\":8.10");
            call.reply(200, RESULT);
            assertThat(client.nextAnswer().at("id").number()).isEqualTo(2);
            assertThat(client.lastText).contains("\"result\":{\"lamp\":1.50}");
            stream.chunk("data: [DONE]\n\n");
            stream.endStream();
            assertThat(client.nextAnswer().at("id").number()).isEqualTo(1);
            assertThat(client.answerCount).hasValue(2);
            assertThat(tool.count("POST /tool")).isEqualTo(1);
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
        }
    }

    @Test
    void failedWriterFailsTheAnswerButNotTheCall() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        BlockingQueue<StandIn.Exchange> calls = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: one\n\n");
            streams.add(x);
        });
                StandIn tool = new StandIn(calls::add);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start(toolsConfig(serversJson(tool), "5000", 4, 1000))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.startAnswer(1);
            take(client.events);
            client.call(2, "orders.raise");
            StandIn.Exchange call = take(calls);
            take(streams).reset();
            assertThat(client.nextAnswer().at("error").at("data").at("outcome").text()).isEqualTo("failed");
            call.reply(200, RESULT);
            assertThat(client.nextAnswer().at("id").number()).isEqualTo(2);
            assertThat(client.answerCount).hasValue(2);
        }
    }

    @Test
    void disconnectDuringAReplyLeavesNoState() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        BlockingQueue<StandIn.Exchange> calls = GatewayFixture.queue();
        BlockingQueue<String> ended = GatewayFixture.queue();
        try (StandIn tool = new StandIn(x -> {
            effects.incrementAndGet();
            x.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"jsonrpc\"");
            calls.add(x);
            x.awaitClose();
            ended.add("ended");
        }); GatewayFixture fixture = startFixture(tool)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "orders.raise");
            take(calls);
            client.socket.abort();
            take(ended);
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            assertThat(effects).hasValue(1);
            assertThat(client.answerCount).hasValue(0);
        }
    }

    @Test
    void callWithSideEffectsThatMayHaveRunIsNotRetried() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        StandIn.Handler reset = x -> {
            effects.incrementAndGet();
            x.reset();
        };
        try (StandIn one = new StandIn(reset);
                StandIn two = new StandIn(reset);
                GatewayFixture fixture = startFixture(one, two)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "orders.raise");
            JsonValue error = client.nextAnswer().at("error");
            assertThat(error.at("code").number()).isEqualTo(-32001);
            assertThat(error.at("data").at("mayHaveRun").isTrue()).isTrue();
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            assertThat(effects).hasValue(1);
            assertThat(client.answerCount).hasValue(1);
        }
    }

    @Test
    void pureCallIsRetriedAtAnotherServer() throws Exception {
        AtomicInteger failuresLeft = new AtomicInteger(1);
        StandIn.Handler failOnce = x -> {
            if (failuresLeft.getAndDecrement() > 0) x.reset();
            else x.reply(200, RESULT);
        };
        try (StandIn one = new StandIn(failOnce);
                StandIn two = new StandIn(failOnce);
                GatewayFixture fixture = startFixture(one, two)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "columns.find");
            assertThat(client.nextAnswer().at("result").present()).isTrue();
            assertThat(one.count("POST") + two.count("POST")).isEqualTo(2);
            assertThat(client.answerCount).hasValue(1);
        }
    }

    @Test
    void declinedCallWithSideEffectsIsRetriedAtAnotherServer() throws Exception {
        AtomicInteger failuresLeft = new AtomicInteger(1);
        StandIn.Handler failOnce = x -> {
            if (failuresLeft.getAndDecrement() > 0) x.reply(503, "", "Srv-Declined: 1");
            else x.reply(200, RESULT);
        };
        try (StandIn one = new StandIn(failOnce);
                StandIn two = new StandIn(failOnce);
                GatewayFixture fixture = startFixture(one, two)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "orders.raise");
            assertThat(client.nextAnswer().at("result").present()).isTrue();
        }
    }

    @Test
    void callIsAnsweredByItsDeadline() throws Exception {
        try (StandIn tool = new StandIn(StandIn.Exchange::awaitClose);
                GatewayFixture fixture = new GatewayFixture().start(toolsConfig(serversJson(tool), "200", 4, 1000))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "orders.raise");
            assertThat(client.nextAnswer().at("error").at("data").at("outcome").text()).isEqualTo("failed");
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @Test
    void teamsCallsInFlightAreLimitedAndFreed() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = GatewayFixture.queue();
        try (StandIn tool = new StandIn(calls::add);
                GatewayFixture fixture = new GatewayFixture().start(toolsConfig(serversJson(tool), "5000", 1, 1000))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "columns.find");
            StandIn.Exchange first = take(calls);
            client.call(2, "columns.find");
            JsonValue refused = client.nextAnswer();
            assertThat(refused.at("id").number()).isEqualTo(2);
            assertThat(refused.at("error").at("code").number()).isEqualTo(-32000);
            assertThat(refused.at("error").at("data").at("retryAfterMs").number()).isPositive();
            first.reply(200, RESULT);
            client.nextAnswer();
            client.call(3, "columns.find");
            take(calls).reply(200, RESULT);
            assertThat(client.nextAnswer().at("result").present()).isTrue();
        }
    }

    @Test
    void replyAboveTheContractsLimitFails() throws Exception {
        try (StandIn tool = toolServer(new AtomicInteger());
                GatewayFixture fixture = new GatewayFixture().start(toolsConfig(serversJson(tool), "5000", 4, 20))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "columns.find");
            assertThat(client.nextAnswer().at("error").at("data").at("outcome").text()).isEqualTo("failed");
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @Test
    void cancelledCallGetsOneAnswerAndFreesItsId() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = GatewayFixture.queue();
        try (StandIn tool = new StandIn(calls::add); GatewayFixture fixture = startFixture(tool)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.call(1, "orders.raise");
            StandIn.Exchange call = take(calls);
            client.call(1, "orders.raise");
            JsonValue duplicate = client.nextAnswer();
            assertThat(duplicate.at("id").present()).isFalse();
            assertThat(duplicate.at("error").at("data").at("duplicateId").number()).isEqualTo(1);
            client.send("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":1}}");
            assertThat(client.nextAnswer().at("error").at("code").number()).isEqualTo(-32003);
            call.awaitClose();
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            {"jsonrpc":"2.0","id":                                                              | -32700
            nonsense                                                                            | -32700
            [{"jsonrpc":"2.0","id":1,"method":"ping"}]                                          | -32600
            {"id":1,"method":"ping"}                                                            | -32600
            {"jsonrpc":"2.0","id":{},"method":"ping"}                                           | -32600
            {"jsonrpc":"2.0","id":1,"method":7}                                                 | -32600
            {"jsonrpc":"2.0","id":1,"method":"ping","params":3}                                 | -32600
            {"jsonrpc":"2.0","id":1,"method":"no/such"}                                         | -32601
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":[1]}                         | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{}}                          | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{"name":"no.such"}}          | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{"name":"columns.find","arguments":5}} | -32602
            {"jsonrpc":"2.0","id":1,"method":"answers/stream","params":{"kind":"poem"}}         | -32602
            """)
    void invalidMessagesAreRejectedAndNotForwarded(String message, int code) throws Exception {
        AtomicInteger effects = new AtomicInteger();
        try (StandIn tool = toolServer(effects); GatewayFixture fixture = startFixture(tool)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.send(message);
            assertThat(client.nextAnswer().at("error").at("code").number()).isEqualTo(code);
            client.send("{\"jsonrpc\":\"2.0\",\"id\":\"x\",\"method\":\"ping\"}");
            assertThat(client.nextAnswer().at("result").isObject()).isTrue();
            assertThat(effects).hasValue(0);
        }
    }

    @Test
    void argumentAboveTheContractsLimitIsNotForwarded() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        try (StandIn tool = toolServer(effects); GatewayFixture fixture = startFixture(tool)) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            client.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\","
                    + "\"arguments\":{\"a\":\"" + "x".repeat(200) + "\"}}}");
            assertThat(client.nextAnswer().at("error").at("code").number()).isEqualTo(-32602);
            assertThat(effects).hasValue(0);
        }
    }

    @Test
    void unknownTeamIsRejected() throws Exception {
        try (StandIn tool = toolServer(new AtomicInteger()); GatewayFixture fixture = startFixture(tool)) {
            assertThatThrownBy(() -> Client.connect(fixture, "nobody")).isInstanceOf(CompletionException.class);
        }
    }

    @Test
    void serverThatConsulMarksCriticalGetsNoNewCalls() throws Exception {
        AtomicInteger one = new AtomicInteger();
        AtomicInteger two = new AtomicInteger();
        try (StandIn first = toolServer(one);
                StandIn second = toolServer(two);
                ConsulStandIn consul = new ConsulStandIn(first, second);
                GatewayFixture fixture = new GatewayFixture().start(toolsConfig("\"consul\":\"" + consul.address()
                        + "\",\"services\":{\"records\":{\"path\":\"/tool\"}},", "300", 4, 1000))) {
            Client client = Client.connect(fixture, "cyngor-glannau");
            await("the service is found", () -> isServed(client));
            consul.status(0, "critical");
            await("server 0 gets no more calls", () -> {
                int before = one.get();
                return isServed(client) && one.get() == before && consul.healthQueries() > 2;
            });
            consul.status(1, "critical");
            await("no server is left", () -> !isServed(client));
            int before = one.get() + two.get();
            assertThat(isServed(client)).isFalse();
            assertThat(one.get() + two.get()).isEqualTo(before);
            consul.restart();
            consul.status(1, "passing");
            await("the service is found again after the index went back", () -> isServed(client));
        }
    }

    private static boolean isServed(Client client) {
        client.call(client.answerCount.get() + 100, "columns.find");
        try {
            return client.nextAnswer().at("result").present();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
