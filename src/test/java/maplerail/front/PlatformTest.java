package maplerail.front;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformTest {
    @Test
    void requestGoesToReaderThenWriterAndEventsPassUnchanged() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = fixture.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer).startsWith("HTTP/1.1 200").contains("data: {\"a\":1}\n\n", "data: [DONE]\n\n")
                    .endsWith("0\r\n\r\n");
            assertThat(reader.seen).containsExactly("POST /v1/chat/completions?x=%41");
            assertThat(writer.seen).containsExactly("POST /v1/chat/completions?x=%41");
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            Req-Id: a1                   | X: 1                             | 400
            Req-Kind: lookup             | Req-Kind: nonsense               | 400
            Req-Owner: cyngor-glannau    | Req-Owner: nobody                | 400
            Req-Deadline: 5.0            | Req-Deadline: soon               | 400
            Req-Deadline: 5.0            | Req-Deadline: -1                 | 400
            Req-Deadline: 5.0            | Req-Deadline: NaN                | 400
            Req-Extra: prompt_len=500    | Req-Extra: prompt_len=many       | 400
            Req-Extra: prompt_len=500    | Req-Extra: oops                  | 400
            Req-Id: a1                   | Req-Id: a/../b                   | 400
            Content-Length: 15           | Content-Length: 262145           | 413
            POST /v1                     | GET /v1                          | 405
            POST /v1/chat/completions    | POST /-/load                     | 404
            """)
    void invalidRequestIsRejectedAndNotForwarded(String valid, String invalid, int status) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).start()) {
            String answer = fixture.exchange(request("a1", "lookup", "5.0").replace(valid, invalid));
            assertThat(answer).startsWith("HTTP/1.1 " + status);
            assertThat(reader.seen).isEmpty();
        }
    }

    @Test
    void chunkedBodyHasTheSameSizeLimit() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).start();
                Socket client = fixture.connect()) {
            String head = request("a1", "lookup", "5.0").replace("Content-Length: 15", "Transfer-Encoding: chunked")
                    .replace("{\"stream\":true}", "");
            client.getOutputStream().write((head + ("10000\r\n" + "x".repeat(0x10000) + "\r\n").repeat(5) + "0\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            byte[] answer = client.getInputStream().readNBytes(12);
            assertThat(new String(answer, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 413");
            assertThat(reader.seen).isEmpty();
        }
    }

    /** A restarted gateway serves from the engine list that it last had, once that is confirmed and discovery is silent. */
    @Test
    void knownListIsUsedWhileDiscoveryIsSilent() throws Exception {
        StandIn.Handler silentOnceConfirmed = exchange -> {
            if (exchange.target.endsWith("wait=0")) exchange.reply(200, "{\"seq\":3,\"whole\":false,\"hosts\":[]}");
            else exchange.awaitClose();
        };
        try (StandIn silent = new StandIn(silentOnceConfirmed);
                StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().withDiscovery(silent).engine("r", "prefill", reader)
                        .engine("w", "decode", writer).start()) {
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void requestRefusedByTheModuleGetsRetryAfter() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture().start()) {
            assertThat(fixture.gateway.retainedRequests()).isZero();
            try (StandIn drained = GatewayFixture.reader()) {
                fixture.engine("r", "prefill", drained, "terminating");
                await("ready", () -> status(fixture, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").contains(" 200 "));
                assertThat(fixture.exchange(request("a1", "lookup", "0.1")))
                        .startsWith("HTTP/1.1 503").contains("Retry-After: 1.000");
                assertThat(drained.seen).isEmpty();
            }
        }
    }

    private static String status(GatewayFixture fixture, String request) {
        try {
            return fixture.exchange(request);
        } catch (java.io.IOException e) {
            return "";
        }
    }

    /** The outcome at an engine decides what is sent next and the one final answer. */
    @ParameterizedTest
    @CsvSource({"full,lookup,200,2", "gone,lookup,200,2", "error,repair-order,502,1", "reset,repair-order,502,1",
            "full,repair-order,200,2", "error,lookup,200,2", "reset,lookup,200,2"})
    void outcomeDecidesWhetherARequestIsRetried(String firstOutcome, String kind, int status, int sends)
            throws Exception {
        BlockingQueue<String> outcomes = GatewayFixture.queue();
        outcomes.add(firstOutcome);
        StandIn.Handler handler = x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else switch (outcomes.isEmpty() ? "" : outcomes.take()) {
                case "full" -> x.reply(503, "", "Srv-Declined: 1");
                case "gone" -> x.reply(410, "", "Srv-Declined: 1");
                case "error" -> x.reply(500, "");
                case "reset" -> x.reset();
                default -> {
                    x.startStream();
                    x.chunk("data: 1\n\n");
                    x.endStream();
                }
            }
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(handler);
                StandIn other = new StandIn(handler);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other).start()) {
            assertThat(fixture.exchange(request("a1", kind, "5.0"))).startsWith("HTTP/1.1 " + status);
            assertThat(writer.count("POST") + other.count("POST")).isEqualTo(sends);
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            if (status == 502)
                await("the state is released", () -> reader.count("DELETE /internal/reservations/a1") > 0);
        }
    }

    @Test
    void brokenStreamClosesTheConnectionWithoutALastChunk() throws Exception {
        StandIn.Handler handler = x -> {
            x.startStream();
            x.chunk("data: 1\n\ndata: hal");
            x.reset();
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(handler);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = fixture.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer).contains("data: 1\n\n").doesNotContain("hal").doesNotContain("\r\n0\r\n");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** All events have arrived, but only the last chunk marks the end of the stream. */
    @ParameterizedTest
    @ValueSource(strings = {"", "0", "0\r\n", "0\r\n\r"})
    void streamCutWithinItsLastChunkIsIncomplete(String end) throws Exception {
        StandIn.Handler handler = x -> {
            x.startStream();
            x.chunk("data: [DONE]\n\n");
            x.write(end);
            x.reset();
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(handler);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).doesNotContain("\r\n0\r\n");
        }
    }

    /** The connection stays open, but nothing more that arrives on it can be trusted. */
    @ParameterizedTest
    @ValueSource(strings = {"zz\r\n", "\r\n", "3\r\ndata: 2\n\n\r\n", "c0000000\r\ndata",
            "99\r\ndata: 2\n\n\r\n0\r\n\r\n"})
    void corruptStreamIsIncomplete(String corruption) throws Exception {
        StandIn.Handler handler = x -> {
            x.startStream();
            x.chunk("data: 1\n\n");
            x.write(corruption);
            x.awaitClose();
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(handler);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            String answer = fixture.exchange(request("a1", "lookup", "5.0"));
            assertThat(answer).endsWith("data: 1\n\n\r\n").doesNotContain("data: 2").doesNotContain("\r\n0\r\n");
            await("the corrupt connection is closed", () -> writer.closedConnections() == 1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise\n", "HTTP/1.1 200 OK\r\nno header\r\n\r\n", "HTTP/1.1 200 OK\r\nA: "})
    void malformedResponseHeadMeansTheAttemptMayHaveRun(String head) throws Exception {
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.write(head);
            x.awaitClose();
        });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(fixture.exchange(request("a1", "repair-order", "15.0"))).startsWith("HTTP/1.1 502");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** Engines that reject a client's invalid request are not failing, and no other engine is tried. */
    @ParameterizedTest
    @ValueSource(ints = {400, 404, 422})
    void requestRejectedByAnEngineIsTheClientsFault(int status) throws Exception {
        StandIn.Handler rejecting = x -> {
            if (x.method.equals("POST") && x.headers.get("req-id").startsWith("bad")) x.reply(status, "");
            else x.reply(202, "{}");
        };
        try (StandIn reader = new StandIn(rejecting);
                StandIn other = new StandIn(rejecting);
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r1", "prefill", reader)
                        .engine("r2", "prefill", other)
                        .engine("w", "decode", writer).start()) {
            for (int i = 1; i <= 10; i++) {
                assertThat(fixture.exchange(request("bad" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 400");
                assertThat(reader.count("POST") + other.count("POST")).isEqualTo(i);
            }
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
        }
    }

    @Test
    void streamWithoutFramingIsIncomplete() throws Exception {
        StandIn.Handler handler = x -> {
            x.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: 1\n\n");
            x.reset();
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(handler);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).doesNotContain("\r\n0\r\n");
        }
    }

    @Test
    void disconnectCancelsTheAttemptAndReleasesTheState() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = GatewayFixture.queue();
        BlockingQueue<String> ended = GatewayFixture.queue();
        StandIn.Handler silent = x -> {
            waiting.add(x);
            x.awaitClose();
            ended.add(x.headers.get("req-id"));
        };
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(silent);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            Socket client = fixture.connect();
            client.getOutputStream().write(request("a1", "repair-order", "5.0").getBytes(StandardCharsets.UTF_8));
            assertThat(Double.parseDouble(take(waiting).headers.get("req-deadline"))).isBetween(0.0, 5.0);
            client.close();
            assertThat(take(ended)).isEqualTo("a1");
            await("the state is released", () -> reader.count("DELETE /internal/reservations/a1") > 0);
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
        }
    }

    @Test
    void drainingEngineGetsNoNewRequests() throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other).start()) {
            BlockingQueue<String> answers = GatewayFixture.queue();
            fixture.engine("w1", "decode", writer, "terminating");
            fixture.engine("x", "decode", writer, "terminating");
            await("the gateway stops using w1", () -> {
                long before = writer.count("POST");
                answers.add(status(fixture, request("t" + answers.size(), "lookup", "5.0")));
                return writer.count("POST") == before;
            });
            long before = writer.count("POST");
            for (int i = 0; i < 10; i++) {
                assertThat(fixture.exchange(request("b" + i, "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(other.count("POST")).isGreaterThanOrEqualTo(10);
            assertThat(writer.count("POST")).isEqualTo(before);
        }
    }

    @Test
    void pipelinedRequestIsServedNext() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(streams::add);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = fixture.connect()) {
            client.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange first = take(streams);
            String closing = request("a2", "lookup", "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n");
            client.getOutputStream().write(closing.getBytes(StandardCharsets.UTF_8));
            first.reply(200, "data: one\n\ndata: [DONE]\n\n");
            take(streams).reply(200, "data: two\n\ndata: [DONE]\n\n");
            assertThat(GatewayFixture.readAll(client.getInputStream())).contains("data: one\n\n", "data: two\n\n");
        }
    }

    /** Any number of bytes of the next requests may follow, whether or not those requests are ever complete. */
    @ParameterizedTest
    @ValueSource(ints = {1, 40, 250, 1_000})
    void pipelinedBytesDoNotDelayTheAnswer(int pipelinedBytes) throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(streams::add);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = fixture.connect()) {
            client.setSoTimeout(2_000);
            String next = request("a2", "lookup", "5.0").repeat(9).substring(0, pipelinedBytes);
            client.getOutputStream().write((request("a1", "lookup", "5.0") + next).getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange stream = take(streams);
            stream.startStream();
            stream.chunk("data: one\n\n");
            assertThat(GatewayFixture.readUntil(client, "data: one\n\n")).contains("data: one\n\n");
            stream.chunk("data: [DONE]\n\n");
            stream.endStream();
            assertThat(GatewayFixture.readUntil(client, "\r\n0\r\n\r\n")).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
        }
    }

    /** The same holds for an answer that the gateway makes itself. */
    @ParameterizedTest
    @ValueSource(ints = {1, 40, 250, 1_000})
    void pipelinedBytesDoNotDelayARefusal(int pipelinedBytes) throws Exception {
        try (GatewayFixture fixture = new GatewayFixture().start(); Socket client = fixture.connect()) {
            client.setSoTimeout(2_000);
            String next = request("a2", "lookup", "5.0").repeat(9).substring(0, pipelinedBytes);
            client.getOutputStream().write((request("a1", "nonsense", "5.0") + next).getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readUntil(client, "Req-Kind: unknown")).startsWith("HTTP/1.1 400");
        }
    }

    /** The same holds for a request without a body. */
    @ParameterizedTest
    @ValueSource(ints = {1, 40, 250})
    void pipelinedBytesDoNotDelayTheReadinessCheck(int pipelinedBytes) throws Exception {
        try (GatewayFixture fixture = new GatewayFixture().start(); Socket client = fixture.connect()) {
            client.setSoTimeout(2_000);
            String next = request("a2", "lookup", "5.0").repeat(2).substring(0, pipelinedBytes);
            String ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            client.getOutputStream().write((ready + next).getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayFixture.readUntil(client, "\r\n\r\n")).startsWith("HTTP/1.1 200");
        }
    }

    /** The end of input follows the pipelined bytes: a gateway that stops reading there would miss the disconnect. */
    @ParameterizedTest
    @ValueSource(ints = {9, 1_000})
    void disconnectAfterPipelinedRequestsEndsThemAll(int requests) throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = GatewayFixture.queue();
        BlockingQueue<String> ended = GatewayFixture.queue();
        StandIn.Handler silent = x -> {
            waiting.add(x);
            x.awaitClose();
            ended.add(x.headers.get("req-id"));
        };
        try (StandIn reader = new StandIn(silent);
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).start()) {
            try (Socket client = fixture.connect()) {
                client.getOutputStream().write(request("a1", "repair-order", "60").getBytes(StandardCharsets.UTF_8));
                take(waiting);
                StringBuilder pipelined = new StringBuilder();
                for (int i = 2; i <= requests; i++) pipelined.append(request("a" + i, "lookup", "60"));
                client.getOutputStream().write(pipelined.toString().getBytes(StandardCharsets.UTF_8));
            }
            assertThat(take(ended)).isEqualTo("a1");
            await("no request is retained", () -> fixture.gateway.retainedRequests() == 0);
            assertThat(reader.count("POST")).isEqualTo(1);
        }
    }

    /** All pipelined requests are answered, in order. */
    @ParameterizedTest
    @ValueSource(ints = {40, 600})
    void manyPipelinedRequestsAreAnsweredInOrder(int requests) throws Exception {
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = fixture.connect()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(request("a" + i, i % 2 == 0 ? "lookup" : "nonsense", "5.0"));
            }
            all.append(request("z", "lookup", "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            client.getOutputStream().write(all.toString().getBytes(StandardCharsets.UTF_8));
            String[] answers = GatewayFixture.readAll(client.getInputStream()).split("HTTP/1.1 ");
            assertThat(answers).hasSize(requests + 2);
            for (int i = 0; i <= requests; i++) assertThat(answers[i + 1]).startsWith(i % 2 == 0 ? "200" : "400");
        }
    }

    @Test
    void duplicateOpenRequestIdIsRejected() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = GatewayFixture.queue();
        try (StandIn reader = new StandIn(x -> {
            waiting.add(x);
            x.awaitClose();
        });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).start();
                Socket first = fixture.connect()) {
            first.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            take(waiting);
            assertThat(fixture.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 409");
        }
    }
}
