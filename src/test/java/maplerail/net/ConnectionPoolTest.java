package maplerail.net;

import static maplerail.support.GatewayFixture.await;
import static maplerail.support.GatewayFixture.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Stream;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.FailedIoFuture;
import org.xnio.OptionMap;

class ConnectionPoolTest {
    @RegisterExtension
    private final TestLoop testLoop;
    private final XnioLoop loop;
    private final BlockingQueue<String> events = GatewayFixture.queue();

    ConnectionPoolTest() throws Exception {
        testLoop = new TestLoop();
        loop = testLoop.loop();
    }

    private ConnectionPool pool(double connIdleMs) {
        return pool(connIdleMs, 250);
    }

    private ConnectionPool pool(double connIdleMs, double connectTimeoutMs) {
        return pool(connIdleMs, connectTimeoutMs, 50);
    }

    /** Returns a pool with room for all connections that a fast machine opens before the first may be reused. */
    private ConnectionPool poolWithManyConnections() {
        return pool(30_000, 250, 2_000);
    }

    private ConnectionPool pool(double connIdleMs, double connectTimeoutMs, int maxConnections) {
        return testLoop.pool(connIdleMs, connectTimeoutMs, maxConnections);
    }

    private String post(ConnectionPool pool, InetSocketAddress address) throws Exception {
        loop.execute(() -> pool.start(address, request(address), "{}".getBytes(), new RecordingHandler(events)));
        return take(events);
    }

    private record RecordingHandler(BlockingQueue<String> events) implements ResponseHandler {
        @Override
        public void head(int status, HeaderMap headers) {}

        @Override
        public void body(ByteBuffer part) {}

        @Override
        public void end() {
            events.add("end");
        }

        @Override
        public void failed(Failure failure) {
            events.add(switch (failure) {
                case LOCAL_FAULT -> "local fault";
                case NEVER_SENT -> "never sent";
                case BROKEN -> "may have run";
            });
        }
    }

    private static io.undertow.client.ClientRequest request(InetSocketAddress address) {
        io.undertow.client.ClientRequest request = Requests.to(address, Methods.POST, "/");
        request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 2);
        return request;
    }

    @Test
    void idleConnectionIsReusedAndClosedBeforeThePeerClosesIt() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = poolWithManyConnections();
            // A connection is not reused before it has been quiet for a while.
            for (int lastCount = -1; lastCount != server.connections();) {
                lastCount = server.connections();
                assertThat(post(pool, server.socketAddress())).isEqualTo("end");
            }
            int before = server.connections();
            assertThat(post(pool(100), server.socketAddress())).isEqualTo("end");
            await("the new connection closed",
                    () -> server.connections() == before + 1 && server.closedConnections() == 1);
        }
    }

    @Test
    void requestIsNotResentIfTheConnectionBreaksAfterItsLastByte() throws Exception {
        try (StandIn server = new StandIn(x -> {
            if (x.number == 0) x.reply(200, "");
            else x.reset();
        })) {
            ConnectionPool pool = poolWithManyConnections();
            int posts = 1;
            while (post(pool, server.socketAddress()).equals("end")) posts++;
            assertThat(posts).isGreaterThan(1);
            assertThat(server.count("POST")).isEqualTo(posts);
            assertThat(server.closedConnections()).isLessThanOrEqualTo(1);
        }
    }

    /** Guards against reuse of a connection on which the next request would be queued behind the rest of this one. */
    @Test
    void connectionWithAPartlyWrittenRequestIsNotReused() throws Exception {
        BlockingQueue<String> results = GatewayFixture.queue();
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            ConnectionPool pool = pool(1e12);
            loop.execute(() -> {
                io.undertow.client.ClientRequest request = Requests.to(address, Methods.POST, "/");
                request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 32 << 20);
                pool.start(address, request, new byte[32 << 20], new RecordingHandler(results));
            });
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes());
                assertThat(take(results)).isEqualTo("end");
                GatewayFixture.readAll(socket.getInputStream());
            }
        }
    }

    /** Guards against taking a surplus response for the response to the next request. */
    @Test
    void surplusResponseIsNotTakenForTheNextOne() throws Exception {
        try (StandIn server = new StandIn(x -> {
            x.write("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            if (x.number == 0) x.reply(500, "another's");
        })) {
            ConnectionPool pool = pool(30_000);
            for (int i = 1; i <= 3; i++) {
                assertThat(post(pool, server.socketAddress())).isEqualTo("end");
                int closed = i;
                await("the connection closed", () -> server.closedConnections() == closed);
            }
        }
    }

    /** Guards against connections to engines that use up the descriptors needed for clients. */
    @Test
    void poolNeverExceedsItsConnectionLimit() throws Exception {
        BlockingQueue<StandIn.Exchange> exchanges = GatewayFixture.queue();
        try (StandIn server = new StandIn(exchanges::add); StandIn other = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            assertThat(post(pool, other.socketAddress())).isEqualTo("end");
            for (int i = 0; i < 50; i++) {
                loop.execute(() -> pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2],
                        new RecordingHandler(events)));
                take(exchanges);
            }
            await("the idle connection closed", () -> other.closedConnections() == 1);
            assertThat(post(pool, other.socketAddress())).isEqualTo("never sent");
        }
    }

    /** Guards against hanging attempts that block discovery updates and releases of states. */
    @Test
    void watchAndReleaseGetConnectionsFromAFullPool() throws Exception {
        BlockingQueue<StandIn.Exchange> exchanges = GatewayFixture.queue();
        try (StandIn engineServer = new StandIn(x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else exchanges.add(x);
        }); StandIn agent = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            InetSocketAddress engine = engineServer.socketAddress();
            for (int i = 0; i < 50; i++) {
                loop.execute(() -> pool.start(engine, request(engine), new byte[2], new RecordingHandler(events)));
                take(exchanges);
            }
            InetSocketAddress discovery = agent.socketAddress();
            loop.execute(() -> pool.start(discovery, Requests.to(discovery, Methods.GET, "/"), new byte[0],
                    new RecordingHandler(events)));
            assertThat(take(events)).isEqualTo("end");
            loop.execute(() -> pool.start(engine, Requests.to(engine, Methods.DELETE, "/"), new byte[0],
                    new RecordingHandler(events)));
            assertThat(take(events)).isEqualTo("end");
        }
    }

    /** Guards against a release that waits behind a burst of reads until its state exceeds the pin limit. */
    @Test
    void releaseIsSentBeforeQueuedCalls() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (StandIn server = new StandIn(x -> {
            // Reads hold their connections until the release has arrived, so a release queued behind them would never
            // get one.
            if (x.method.equals("DELETE")) released.countDown();
            else released.await();
            x.reply(200, "");
        })) {
            ConnectionPool pool = pool(30_000, 20_000);
            InetSocketAddress address = server.socketAddress();
            loop.execute(() -> {
                for (int i = 0; i < 60; i++)
                    pool.start(address, request(address), new byte[2], new RecordingHandler(events));
                pool.start(address, Requests.to(address, Methods.DELETE, "/"), new byte[0],
                        new RecordingHandler(events));
            });
            for (int i = 0; i < 61; i++) assertThat(take(events)).isEqualTo("end");
        }
    }

    /** Guards against a burst of requests that fails on the limit on connections being established. */
    @Test
    void callsAboveTheConnectLimitAreQueued() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            loop.execute(() -> {
                for (int i = 0; i < 100; i++) {
                    pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2],
                            new RecordingHandler(events));
                }
            });
            for (int i = 0; i < 100; i++) assertThat(take(events)).isEqualTo("end");
        }
    }

    /** The request has run, so the state that its engine holds for it must be released in time. */
    @Test
    void responseWithAnIncompleteHeadTimesOut() throws Exception {
        try (StandIn server = new StandIn(x -> {
            x.write("HTTP/1.1 202 Accepted\r\nContent-");
            x.awaitClose();
        })) {
            double startMs = loop.nowMs();
            assertThat(post(pool(30_000), server.socketAddress())).isEqualTo("may have run");
            assertThat(loop.nowMs() - startMs).isLessThan(1_500);
        }
    }

    /**
     * After a pause of the whole process, such as during its start, timers are due before established connections are
     * reported.
     */
    @Test
    void connectionEstablishedDuringALoopStallIsUsed() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000, 100);
            loop.execute(() -> {
                pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2],
                        new RecordingHandler(events));
                double stalledMs = loop.nowMs();
                while (loop.nowMs() < stalledMs + 300) Thread.onSpinWait();
            });
            assertThat(take(events)).isEqualTo("end");
        }
    }

    /** A notice that the engine drains, or the client's disconnect, may have arrived and not been read yet. */
    @Test
    void attemptOnADelayedLoopIsCheckedAfterPendingInputIsRead() throws Exception {
        CountDownLatch requested = new CountDownLatch(1);
        CountDownLatch mayRespond = new CountDownLatch(1);
        try (StandIn server = new StandIn(x -> x.reply(200, ""));
                StandIn agent = new StandIn(x -> {
                    requested.countDown();
                    mayRespond.await();
                    x.reply(200, "");
                })) {
            ConnectionPool pool = pool(30_000);
            assertThat(post(pool, server.socketAddress())).as("there is an idle connection").isEqualTo("end");
            InetSocketAddress agentAddress = agent.socketAddress();
            loop.execute(() -> pool.start(agentAddress, Requests.to(agentAddress, Methods.GET, "/"), new byte[0],
                    new RecordingHandler(events)));
            requested.await();
            loop.execute(() -> {
                mayRespond.countDown();
                double stalledMs = loop.nowMs();
                while (loop.nowMs() < stalledMs + 300) Thread.onSpinWait();
                InetSocketAddress address = server.socketAddress();
                pool.start(address, () -> request(address), "{}".getBytes(), () -> events.add("asked"),
                        new RecordingHandler(events));
            });
            assertThat(take(events)).as("the response of the agent").isEqualTo("end");
            assertThat(take(events)).isEqualTo("asked");
            assertThat(take(events)).isEqualTo("end");
        }
    }

    /**
     * A connection established after the timeout is kept for other calls, and the call that timed out is not written to
     * it.
     */
    @Test
    void requestIsNotWrittenAfterItsConnectTimeout() throws Exception {
        List<Socket> pendingSockets = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            // While its backlog is full, the operating system completes no further connection until one is accepted.
            for (int i = 0; i < 2; i++) pendingSockets.add(new Socket(address.getAddress(), address.getPort()));
            assertThat(post(pool(30_000, 100), address)).isEqualTo("never sent");
            for (int i = 0; i < 2; i++) server.accept().close();
            server.setSoTimeout(2_000);
            try (Socket accepted = server.accept()) {
                assertThat(GatewayFixture.readAll(accepted.getInputStream())).isIn("", "<reset>");
            } catch (SocketTimeoutException e) {
                assertThat(pendingSockets).as("the connection was cancelled before it was established").hasSize(2);
            }
        } finally {
            for (Socket socket : pendingSockets) socket.close();
        }
    }

    @Test
    void refusedConnectionProvesThatNothingWasSent() throws Exception {
        // Bound but not listening, so that no other process can take the port, as could happen to one that was closed.
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            InetSocketAddress address = (InetSocketAddress) bound.getLocalSocketAddress();
            assertThat(post(pool(30_000), address)).isEqualTo("never sent");
        }
    }

    /** Fails the first connection attempts with an error of the operating system; later ones succeed. */
    private void failConnects(ConnectionPool pool, int count, Supplier<IOException> error) {
        AtomicInteger attempts = new AtomicInteger();
        pool.setConnector(address -> attempts.getAndIncrement() < count ? new FailedIoFuture<>(error.get())
                : loop.thread().openStreamConnection(address, null, OptionMap.EMPTY));
    }

    private static Stream<IOException> localFaults() {
        return Stream.of(new SocketException("Too many open files"), new SocketException("No buffer space available"),
                new SocketException("Network is unreachable"), new BindException("Cannot assign requested address"));
    }

    @ParameterizedTest
    @MethodSource("localFaults")
    void transientLocalFaultIsRetried(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 2_000);
            failConnects(pool, 3, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("end");
            assertThat(server.count("POST")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @MethodSource("localFaults")
    void lastingLocalFaultIsNotAttributedToThePeer(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 150);
            failConnects(pool, Integer.MAX_VALUE, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("local fault");
            assertThat(pool.connectionCount()).isZero();
        }
    }

    private static Stream<IOException> remoteFaults() {
        return Stream.of(new ConnectException("Connection refused"), new NoRouteToHostException("No route to host"),
                new SocketException("Connection reset"));
    }

    @ParameterizedTest
    @MethodSource("remoteFaults")
    void remoteFaultIsReportedAtOnce(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 20_000);
            failConnects(pool, Integer.MAX_VALUE, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("never sent");
        }
    }

    /**
     * Guards against data that the operating system sends after a network partition, although the request was sent
     * elsewhere.
     */
    @Test
    void abortedRequestIsNotDeliveredLater() throws Exception {
        byte[] body = new byte[400_000];
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4_096);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            ConnectionPool pool = pool(30_000);
            CountDownLatch started = new CountDownLatch(1);
            AtomicReference<Call> call = new AtomicReference<>();
            loop.execute(() -> {
                call.set(pool.start(address, request(address), body, new RecordingHandler(events)));
                started.countDown();
            });
            started.await();
            try (Socket accepted = server.accept()) {
                await("written in full", () -> call.get().trace().matches("written (\\d+) of \\1 .*"));
                loop.execute(() -> call.get().abort());
                await("ended", () -> pool.connectionCount() == 0);
                int receivedBytes = 0;
                try {
                    for (int count = accepted.getInputStream().read(body); count >= 0;) {
                        receivedBytes += count;
                        count = accepted.getInputStream().read(body);
                    }
                } catch (SocketException e) {
                    assertThat(e).hasMessageContaining("reset");
                }
                assertThat(receivedBytes).isLessThan(body.length);
            }
        }
    }
}
