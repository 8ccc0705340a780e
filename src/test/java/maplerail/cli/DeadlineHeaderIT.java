package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a gateway process with clients whose requests arrive with a delay. Guards against a deadline header for an
 * engine that exceeds the time that the client has left, counted from the first byte that it sent.
 */
class DeadlineHeaderIT {
    private static final double BUDGET_MS = 2_000;
    private static final double SLACK_MS = 150; // of the rule
    private static final int SEND_MS = 500; // over which a request is sent in pieces
    private static final int STOP_MS = 400;
    /**
     * After a request, until the process no longer measures how late its timers run: that would mistake a stop for
     * load.
     */
    private static final int REST_MS = 300;
    private static final int CLIENTS = 200;
    private static final int PIPELINED = 100;

    @TempDir
    Path folder;

    private final Map<String, Double> deadlineMs = new ConcurrentHashMap<>();
    private final Map<String, Double> excessMs = new ConcurrentHashMap<>();

    /** The steps of a test with a gateway that listens on a port. */
    private interface Scenario {
        void run(GatewayProgram gateway, int port) throws Exception;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Records by how much the deadline header of an attempt exceeds what its client has left. */
    private void recordExcess(StandIn.Exchange attempt) {
        Double deadline = deadlineMs.get(attempt.headers.get("req-id"));
        double headerMs = 1_000 * Double.parseDouble(attempt.headers.get("req-deadline"));
        excessMs.merge(attempt.headers.get("req-id"), headerMs - (deadline - attempt.firstByteMs), Math::max);
    }

    private void runScenario(int minRequests, Scenario scenario) throws Exception {
        try (StandIn reader = new StandIn(exchange -> {
            if (exchange.method.equals("POST")) recordExcess(exchange);
            exchange.reply(exchange.method.equals("POST") ? 202 : 204, "{\"cached_tokens\":0}");
        });
                StandIn writer = new StandIn(exchange -> {
                    recordExcess(exchange);
                    exchange.startStream();
                    exchange.chunk("data: [DONE]\n\n");
                    exchange.endStream();
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            scenario.run(gateway, gateway.readyPort());
            GatewayFixture.await("requests passed on", () -> excessMs.size() >= minRequests);
            assertThat(excessMs.values()).as("deadline header above what was left, ms")
                    .allMatch(excess -> excess <= SLACK_MS);
        }
    }

    private String request(String id) {
        return GatewayFixture.request(id, "lookup", "2.0");
    }

    private void recordSent(String id) {
        deadlineMs.put(id, nowMs() + BUDGET_MS);
    }

    private static void write(Socket client, String text) throws Exception {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        client.getOutputStream().flush();
    }

    @Test
    void aBodyThatArrivesAfterItsHeadIsTimedFromTheHead() throws Exception {
        runScenario(1, (gateway, port) -> {
            String text = request("a1");
            int body = text.indexOf("\r\n\r\n") + 4;
            try (Socket client = new Socket("127.0.0.1", port)) {
                recordSent("a1");
                write(client, text.substring(0, body));
                GatewayFixture.pause(SEND_MS);
                write(client, text.substring(body));
                GatewayFixture.readUntil(client, "[DONE]");
            }
        });
    }

    /** Uses a kept connection, where the time of the earlier request says nothing about the start of the next one. */
    @Test
    void aRequestInManyPiecesIsTimedFromTheFirst() throws Exception {
        runScenario(2, (gateway, port) -> {
            try (Socket client = new Socket("127.0.0.1", port)) {
                recordSent("a1");
                write(client, request("a1"));
                GatewayFixture.readUntil(client, "[DONE]");
                String text = request("a2");
                int piece = text.length() / 20;
                recordSent("a2");
                for (int i = 0; i < text.length(); i += piece) {
                    write(client, text.substring(i, Math.min(text.length(), i + piece)));
                    GatewayFixture.pause(SEND_MS / 20);
                }
                GatewayFixture.readUntil(client, "[DONE]");
            }
        });
    }

    /** Covers new connections and one that was idle. */
    @Test
    void requestsSentWhileTheProcessIsStoppedAreTimedFromThen() throws Exception {
        runScenario(8, (gateway, port) -> {
            List<Socket> clients = new ArrayList<>();
            clients.add(new Socket("127.0.0.1", port));
            recordSent("warm");
            write(clients.get(0), request("warm"));
            GatewayFixture.readUntil(clients.get(0), "[DONE]");
            GatewayFixture.pause(REST_MS);
            gateway.signal("STOP");
            for (int i = 0; i < 7; i++) {
                if (i > 0) clients.add(new Socket("127.0.0.1", port));
                recordSent("s" + i);
                write(clients.get(i), request("s" + i));
            }
            GatewayFixture.pause(STOP_MS);
            gateway.signal("CONT");
            for (Socket client : clients) GatewayFixture.readUntil(client, "HTTP/1.1 ");
            for (Socket client : clients) client.close();
        });
    }

    /** A process that has just started runs each code path for the first time. */
    @Test
    void manyRequestsAtAProcessThatHasJustStartedAreTimedFromWhenTheyWereSent() throws Exception {
        runScenario(CLIENTS / 4, (gateway, port) -> {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket("127.0.0.1", port));
                recordSent("c" + i);
                write(clients.get(i), request("c" + i));
            }
            for (Socket client : clients) GatewayFixture.readUntil(client, "HTTP/1.1 ");
            for (Socket client : clients) client.close();
        });
    }

    @Test
    void pipelinedRequestsAreTimedFromWhenTheyWereSent() throws Exception {
        runScenario(PIPELINED / 2, (gateway, port) -> {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < PIPELINED; i++) {
                recordSent("p" + i);
                all.append(request("p" + i));
            }
            try (Socket client = new Socket("127.0.0.1", port)) {
                write(client, all.toString());
                for (int i = 0; i < PIPELINED; i++) GatewayFixture.readUntil(client, "HTTP/1.1 ");
            }
        });
    }
}
