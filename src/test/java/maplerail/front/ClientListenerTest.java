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
    private static final int LIMIT_MS = 20_000; // ends a test that would never end
    private static final int SILENT_CROWD = 700;
    private static final int HALF_CROWD = 300;
    private static final int WAITING = 8;
    private static final double BUDGET_MS = 6_000;
    private static final double TOLD_SLACK_MS = 150; // of the rule
    private static final String BUDGET_S = "0.8";
    private static final double LOST_MS = 500; // past its time, from which an answer counts as none
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private static Socket send(GatewayFixture world, String text) throws Exception {
        Socket socket = world.connect();
        socket.setSoTimeout(LIMIT_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    @Test
    void whoSaysNothingOrHalfARequestIsTurnedOutButNotWhoWaitsForAnAnswer() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = GatewayFixture.queue();
        String whole = request("a1", "lookup", "60").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        try (StandIn reader = GatewayFixture.reader(); StandIn writer = new StandIn(x -> {
            x.startStream();
            x.chunk("data: one\n\n");
            streams.add(x);
        });
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket waiting = send(world, whole);
                Socket silent = send(world, "");
                Socket half = send(world, "POST / HTTP/1.1\r\nReq-");
                Socket halfBody = send(world,
                        whole.substring(0, whole.length() - 3))) {
            StandIn.Exchange open = take(streams);
            assertThat(silent.getInputStream().read()).isNegative();
            assertThat(GatewayFixture.readAll(half.getInputStream())).startsWith("HTTP/1.1 408");
            assertThat(GatewayFixture.readAll(halfBody.getInputStream())).startsWith("HTTP/1.1 408");
            open.chunk("data: two\n\n");
            open.endStream();
            assertThat(GatewayFixture.readAll(waiting.getInputStream())).contains("data: one\n\n").endsWith("\r\n0\r\n\r\n");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** However it came: half a request behind a whole one is owed the same end as any other. */
    @Test
    void halfARequestBehindAWholeOneIsTurnedOutAsAnyOther() throws Exception {
        try (GatewayFixture world = new GatewayFixture().start(); Socket client = send(world, READY + "POST / HTTP/1.1\r\nReq-")) {
            long startNanos = System.nanoTime();
            String came = GatewayFixture.readAll(client.getInputStream());
            assertThat(System.nanoTime() - startNanos).as("by TERMS").isLessThan(3_000_000_000L);
            assertThat(came).startsWith("HTTP/1.1 200").contains("HTTP/1.1 408");
        }
    }

    /** As long as its client waits and goes on writing, however slowly. */
    @Test
    void aRequestWhoseBodyKeepsComingIsServed() throws Exception {
        String whole = request("a1", "lookup", "60").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        int body = whole.indexOf("\r\n\r\n") + 4;
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket client = send(world, whole.substring(0, body))) {
            for (int i = body; i < whole.length(); i++) {
                long startNanos = System.nanoTime();
                await("some time later", () -> System.nanoTime() - startNanos > 250_000_000L);
                client.getOutputStream().write(whole.charAt(i));
            }
            assertThat(GatewayFixture.readAll(client.getInputStream())).startsWith("HTTP/1.1 200").contains("[DONE]");
        }
    }

    /** After a pause timers are due before what has arrived is read: a request that is there must not be closed over. */
    @Test
    void aRequestThatArrivedWhileTheLoopStoodStillIsNotClosedOver() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        BlockingQueue<String> heard = GatewayFixture.queue();
        try {
            XnioLoop loop = new XnioLoop(worker.getIoThread());
            ClientListener listener = new ClientListener(connection -> {
                connection.getSourceChannel().setReadListener(channel -> read(channel, heard));
                connection.getSourceChannel().resumeReads();
                heard.add("accepted");
            }, loop, 0, new ServiceCounters(loop, line -> {}));
            AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                    new InetSocketAddress("127.0.0.1", 0), ChannelListeners.openListenerAdapter(listener),
                    OptionMap.EMPTY);
            server.resumeAccepts();
            InetSocketAddress at = server.getLocalAddress(InetSocketAddress.class);
            CountDownLatch written = new CountDownLatch(1);
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                assertThat(take(heard)).isEqualTo("accepted");
                loop.execute(() -> {
                    // The client is silent for too long; its request comes while the loop stands still.
                    double silentMs = loop.nowMs() + 300;
                    while (written.getCount() > 0 || loop.nowMs() < silentMs) Thread.onSpinWait();
                });
                client.getOutputStream().write('x');
                written.countDown();
                assertThat(take(heard)).isEqualTo("x");
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void read(StreamSourceChannel channel, BlockingQueue<String> heard) {
        ByteBuffer bytes = ByteBuffer.allocate(1);
        try {
            if (channel.read(bytes) > 0) heard.add("x");
        } catch (IOException e) {
            heard.add(e.toString());
        }
    }

    /** Discovery is down while they come, and has news when it is back. */
    @Test
    void idleClientsLeaveRoomForRequestsEnginesAndDiscovery() throws Exception {
        List<Socket> idle = new ArrayList<>();
        CountDownLatch back = new CountDownLatch(1);
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                StandIn other = GatewayFixture.writer();
                StandIn agent = new StandIn(x -> {
                    back.await();
                    x.reply(200, "{\"seq\":9,\"whole\":false,\"hosts\":[{\"host\":\"w1\",\"dial\":\"" + writer.address()
                            + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"terminating\"}]}");
                });
                GatewayFixture world = new GatewayFixture().sockets(128).engine("r", "prefill", reader).engine("w1", "decode", writer)
                        .engine("w2", "decode", other).withDiscovery(agent).start()) {
            for (int i = 0; i < 300; i++) idle.add(world.connect());
            back.countDown();
            await("discovery is heard", () -> agent.count("GET /api/targets?index=9&") > 0);
            for (int i = 0; i < 5; i++) {
                assertThat(world.exchange(request("a" + i, "lookup", "20.0"))).startsWith("HTTP/1.1 200");
            }
            assertThat(writer.count("POST")).as("of the engine that drains").isZero();
            assertThat(other.count("POST")).isEqualTo(5);
        } finally {
            for (Socket socket : idle) socket.close();
        }
    }

    /** They wait in the system's queue before it, and a request's time runs there too. */
    @Test
    void aRequestBehindACrowdThatSaysNothingIsAnsweredInItsTime() throws Exception {
        assertThat(answeredAfterMs(SILENT_CROWD, "")).as("until the answer")
                .isLessThan(1_000 * Double.parseDouble(BUDGET_S) + LOST_MS);
    }

    @Test
    void aRequestBehindACrowdThatStopsWithinARequestIsAnsweredInItsTime() throws Exception {
        assertThat(answeredAfterMs(HALF_CROWD, "POST / HTTP/1.1\r\nReq-")).as("until the answer")
                .isLessThan(1_000 * Double.parseDouble(BUDGET_S) + LOST_MS);
    }

    /** A crowd that comes again and again: the places are taken all the time, and some wait for one. */
    @Test
    void aWaitForAPlaceIsChargedToTheRequest() throws Exception {
        Map<String, Double> deadlineMs = new ConcurrentHashMap<>();
        BlockingQueue<Double> overMs = GatewayFixture.queue();
        AtomicBoolean over = new AtomicBoolean();
        try (StandIn reader = new StandIn(x -> {
            if (x.method.equals("POST")) {
                double toldMs = 1_000 * Double.parseDouble(x.headers.get("req-deadline"));
                overMs.add(toldMs - (deadlineMs.get(x.headers.get("req-id")) - x.firstByteMs));
            }
            x.reply(x.method.equals("POST") ? 202 : 204, "{\"cached_tokens\":0}");
        });
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().sockets(256).engine("r", "prefill", reader).engine("w", "decode", writer)
                        .start()) {
            List<Thread> crowd = new ArrayList<>();
            for (int i = 0; i < HALF_CROWD; i++) crowd.add(comesAgain(world, over));
            for (int i = 0; i < WAITING; i++) {
                deadlineMs.put("a" + i, System.nanoTime() / 1e6 + BUDGET_MS);
                try (Socket client = send(world, request("a" + i, "lookup", "" + BUDGET_MS / 1_000))) {
                    GatewayFixture.readUntil(client, "HTTP/1.1 ");
                }
            }
            over.set(true);
            for (Thread one : crowd) one.join(LIMIT_MS);
        }
        assertThat(overMs).as("told over what was left, ms").isNotEmpty().allMatch(most -> most <= TOLD_SLACK_MS);
    }

    /** A client that connects, says half a request and stays until it is ended, over and over. */
    private static Thread comesAgain(GatewayFixture world, AtomicBoolean over) {
        Thread thread = new Thread(() -> {
            while (!over.get()) {
                try (Socket socket = send(world, "POST / HTTP/1.1\r\nReq-")) {
                    GatewayFixture.readAll(socket.getInputStream());
                } catch (Exception e) {
                    return; // the test is over
                }
            }
        });
        thread.start();
        return thread;
    }

    /** Of a request that is sent once a crowd of clients has connected, each of which has said the same. */
    private static double answeredAfterMs(int crowd, String says) throws Exception {
        List<Socket> before = new ArrayList<>();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = GatewayFixture.writer();
                GatewayFixture world = new GatewayFixture().sockets(256).engine("r", "prefill", reader).engine("w", "decode", writer)
                        .start()) {
            for (int i = 0; i < crowd; i++) before.add(send(world, says));
            try (Socket client = send(world, request("a1", "lookup", BUDGET_S))) {
                long sentNanos = System.nanoTime();
                GatewayFixture.readUntil(client, "HTTP/1.1 ");
                return (System.nanoTime() - sentNanos) / 1e6;
            }
        } finally {
            for (Socket socket : before) socket.close();
        }
    }

    /** Clients that ask once and stay would otherwise take every descriptor. */
    @Test
    void idleConnectionsMakeRoomForNewOnes() throws Exception {
        List<Socket> stayed = new ArrayList<>();
        try (GatewayFixture world = new GatewayFixture().sockets(128).start()) {
            for (int i = 0; i < 100; i++) {
                stayed.add(send(world, READY));
                assertThat(stayed.get(i).getInputStream().read()).isEqualTo('H');
            }
            assertThat(GatewayFixture.readAll(stayed.get(0).getInputStream())).startsWith("TTP/1.1 200");
            Socket last = stayed.get(99);
            last.getOutputStream().write(READY.getBytes(StandardCharsets.UTF_8));
            assertThat(last.getInputStream().read()).isPositive();
        } finally {
            for (Socket socket : stayed) socket.close();
        }
    }
}
