package maplerail.front;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.request;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import maplerail.core.ServiceCounters;
import maplerail.net.XnioLoop;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSourceChannel;

class ClientListenerTest {
    private static final int READ_TIMEOUT_MS = 20_000; // ends a test that would otherwise hang
    private static final int SILENT_CLIENTS = 700;
    private static final int INCOMPLETE_CLIENTS = 300;
    private static final int REQUESTS = 8;
    private static final double BUDGET_MS = 6_000;
    private static final double DEADLINE_SLACK_MS = 150; // that the rule on deadlines allows
    private static final String BUDGET_S = "0.8";
    private static final double ANSWER_SLACK_MS = 500; // past the deadline, after which an answer counts as missing
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private static Socket send(GatewayFixture fixture, String text) throws Exception {
        Socket socket = fixture.connect();
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    @Test
    void silentAndIncompleteClientsAreClosedButWaitingOnesAreNot() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        String fullRequest = request("a1", "lookup", "60").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: one\n\n");
            streams.add(x);
        });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket complete = send(fixture, fullRequest);
                Socket silent = send(fixture, "");
                Socket incompleteHead = send(fixture, "POST / HTTP/1.1\r\nReq-");
                Socket incompleteBody = send(fixture,
                        fullRequest.substring(0, fullRequest.length() - 3))) {
            StandIn.Exchange open = take(streams);
            assertThat(silent.getInputStream().read()).isNegative();
            assertThat(GatewayFixture.readAll(incompleteHead.getInputStream())).startsWith("HTTP/1.1 408");
            assertThat(GatewayFixture.readAll(incompleteBody.getInputStream())).startsWith("HTTP/1.1 408");
            open.chunk("data: two\n\n");
            open.chunk("data: [DONE]\n\n");
            open.endStream();
            assertThat(GatewayFixture.readAll(complete.getInputStream())).contains("data: one\n\n")
                    .endsWith("\r\n0\r\n\r\n");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** An incomplete request that was pipelined after a complete one gets the same timeout as any other. */
    @Test
    void incompletePipelinedRequestTimesOut() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture().start();
                Socket client = send(fixture, READY + "POST / HTTP/1.1\r\nReq-")) {
            long startNanos = System.nanoTime();
            String output = GatewayFixture.readAll(client.getInputStream());
            assertThat(System.nanoTime() - startNanos).as("time until the connection is closed, limited by TERMS")
                    .isLessThan(3_000_000_000L);
            assertThat(output).startsWith("HTTP/1.1 200").contains("HTTP/1.1 408");
        }
    }

    /** A body may take as long as its client waits, however slowly it is sent. */
    @Test
    void requestWithASlowButSteadyBodyIsServed() throws Exception {
        String fullRequest = request("a1", "lookup", "60").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        int body = fullRequest.indexOf("\r\n\r\n") + 4;
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = send(fixture, fullRequest.substring(0, body))) {
            for (int i = body; i < fullRequest.length(); i++) {
                long startNanos = System.nanoTime();
                await("some time later", () -> System.nanoTime() - startNanos > 250_000_000L);
                client.getOutputStream().write(fullRequest.charAt(i));
            }
            assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 200").contains("[DONE]");
        }
    }

    /**
     * After a stall of the loop, timers run before arrived bytes are read: the timeout must not close a connection on
     * which a request has arrived.
     */
    @Test
    void requestThatArrivedWhileTheLoopWasStalledIsNotLost() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        BlockingQueue<String> received = GatewayFixture.queue();
        try {
            XnioLoop loop = new XnioLoop(worker.getIoThread());
            ClientListener listener = new ClientListener(connection -> {
                connection.getSourceChannel().setReadListener(channel -> read(channel, received));
                connection.getSourceChannel().resumeReads();
                received.add("accepted");
            }, loop, 0, new ServiceCounters(loop, line -> {}));
            AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                    new InetSocketAddress("127.0.0.1", 0), ChannelListeners.openListenerAdapter(listener),
                    OptionMap.EMPTY);
            server.resumeAccepts();
            InetSocketAddress address = server.getLocalAddress(InetSocketAddress.class);
            CountDownLatch written = new CountDownLatch(1);
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertThat(take(received)).isEqualTo("accepted");
                loop.execute(() -> {
                    // The client is silent for too long; its request arrives while the loop is stalled.
                    double silentMs = loop.nowMs() + 300;
                    while (written.getCount() > 0 || loop.nowMs() < silentMs) Thread.onSpinWait();
                });
                client.getOutputStream().write('x');
                written.countDown();
                assertThat(take(received)).isEqualTo("x");
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void read(StreamSourceChannel channel, BlockingQueue<String> received) {
        ByteBuffer bytes = ByteBuffer.allocate(1);
        try {
            if (channel.read(bytes) > 0) received.add("x");
        } catch (IOException e) {
            received.add(e.toString());
        }
    }

    /** Discovery is down while the clients connect, and reports a change once it is back. */
    @Test
    void idleClientsLeaveRoomForRequestsEnginesAndDiscovery() throws Exception {
        List<Socket> idle = new ArrayList<>();
        CountDownLatch discoveryBack = new CountDownLatch(1);
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    discoveryBack.await();
                    x.reply(200, "{\"seq\":9,\"whole\":false,\"hosts\":[{\"host\":\"w1\",\"dial\":\"" + writer.address()
                            + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"terminating\"}]}");
                });
                GatewayFixture fixture = new GatewayFixture().sockets(128).engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .engine("w2", "decode", other).withDiscovery(agent).start()) {
            for (int i = 0; i < 300; i++) idle.add(fixture.connect());
            discoveryBack.countDown();
            await("discovery is asked for changes", () -> agent.count("GET /api/targets?index=9&") > 0);
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.exchange(request("a" + i, "lookup", "20.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(writer.count("POST")).as("requests at the draining engine").isZero();
            assertThat(other.count("POST")).isEqualTo(5);
        } finally {
            for (Socket socket : idle) socket.close();
        }
    }

    /** The silent clients wait in the kernel's backlog before the request, whose deadline runs there too. */
    @Test
    void requestBehindSilentClientsIsAnsweredInTime() throws Exception {
        assertThat(answerTimeMs(SILENT_CLIENTS, "")).as("until the answer")
                .isLessThan(1_000 * Double.parseDouble(BUDGET_S) + ANSWER_SLACK_MS);
    }

    @Test
    void requestBehindStalledClientsIsAnsweredInTime() throws Exception {
        assertThat(answerTimeMs(INCOMPLETE_CLIENTS, "POST / HTTP/1.1\r\nReq-")).as("until the answer")
                .isLessThan(1_000 * Double.parseDouble(BUDGET_S) + ANSWER_SLACK_MS);
    }

    /**
     * Clients that reconnect all the time hold every connection slot, so that requests wait for one. The deadline that
     * the reader gets must not exceed the time left.
     */
    @Test
    void aWaitForAPlaceIsChargedToTheRequest() throws Exception {
        Map<String, Double> deadlineMs = new ConcurrentHashMap<>();
        BlockingQueue<Double> excessMs = GatewayFixture.queue();
        AtomicBoolean stop = new AtomicBoolean();
        try (StandIn reader = new StandIn(x -> {
            if (x.method.equals("POST")) {
                double sentDeadlineMs = 1_000 * Double.parseDouble(x.headers.get("req-deadline"));
                excessMs.add(sentDeadlineMs - (deadlineMs.get(x.headers.get("req-id")) - x.firstByteMs));
            }
            x.reply(x.method.equals("POST") ? 202 : 204, "{\"cached_tokens\":0}");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().sockets(256).engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < INCOMPLETE_CLIENTS; i++) threads.add(reconnectUntil(fixture, stop));
            for (int i = 0; i < REQUESTS; i++) {
                deadlineMs.put("a" + i, System.nanoTime() / 1e6 + BUDGET_MS);
                try (Socket client = send(fixture, request("a" + i, "lookup", "" + BUDGET_MS / 1_000))) {
                    GatewayFixture.readUntil(client, "HTTP/1.1 ");
                }
            }
            stop.set(true);
            for (Thread thread : threads) thread.join(READ_TIMEOUT_MS);
        }
        assertThat(excessMs).as("sent deadline above the time left, ms").isNotEmpty()
                .allMatch(excess -> excess <= DEADLINE_SLACK_MS);
    }

    /** Starts a client that connects, sends half a request, stays until it is closed, and starts again. */
    private static Thread reconnectUntil(GatewayFixture fixture, AtomicBoolean stop) {
        Thread thread = new Thread(() -> {
            while (!stop.get()) {
                try (Socket socket = send(fixture, "POST / HTTP/1.1\r\nReq-")) {
                    GatewayFixture.readAll(socket.getInputStream());
                } catch (Exception e) {
                    return; // the test is over
                }
            }
        });
        thread.start();
        return thread;
    }

    /** Returns how long a request takes that is sent after many clients have connected and have each sent a text. */
    private static double answerTimeMs(int clientCount, String text) throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture fixture = new GatewayFixture().sockets(256).engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            for (int i = 0; i < clientCount; i++) clients.add(send(fixture, text));
            try (Socket client = send(fixture, request("a1", "lookup", BUDGET_S))) {
                long sentNanos = System.nanoTime();
                GatewayFixture.readUntil(client, "HTTP/1.1 ");
                return (System.nanoTime() - sentNanos) / 1e6;
            }
        } finally {
            for (Socket socket : clients) socket.close();
        }
    }

    /** Guards against clients that send one request, stay connected, and take every descriptor. */
    @Test
    void idleConnectionsAreClosedForNewOnes() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (GatewayFixture fixture = new GatewayFixture().sockets(128).start()) {
            for (int i = 0; i < 100; i++) {
                clients.add(send(fixture, READY));
                assertThat(clients.get(i).getInputStream().read()).isEqualTo('H');
            }
            assertThat(GatewayFixture.readAll(clients.get(0).getInputStream())).startsWith("TTP/1.1 200");
            Socket last = clients.get(99);
            last.getOutputStream().write(READY.getBytes(StandardCharsets.UTF_8));
            assertThat(last.getInputStream().read()).isPositive();
        } finally {
            for (Socket socket : clients) socket.close();
        }
    }
}
