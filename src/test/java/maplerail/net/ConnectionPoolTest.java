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
    private final LoopOnWorker own;
    private final XnioLoop loop;
    private final BlockingQueue<String> heard = GatewayFixture.queue();

    ConnectionPoolTest() throws Exception {
        own = new LoopOnWorker();
        loop = own.loop();
    }

    private ConnectionPool pool(double connIdleMs) {
        return pool(connIdleMs, 250);
    }

    private ConnectionPool pool(double connIdleMs, double connectMs) {
        return pool(connIdleMs, connectMs, 50);
    }

    /** One with room for as many connections as a fast machine opens before the first of them may be used again. */
    private ConnectionPool roomy() {
        return pool(30_000, 250, 2_000);
    }

    private ConnectionPool pool(double connIdleMs, double connectMs, int most) {
        return own.pool(connIdleMs, connectMs, most);
    }

    private String post(ConnectionPool pool, InetSocketAddress to) throws Exception {
        loop.execute(() -> pool.start(to, request(to), "{}".getBytes(), new Heard(heard)));
        return take(heard);
    }

    private record Heard(BlockingQueue<String> by) implements Reply {
        @Override
        public void head(int status, HeaderMap headers) {}

        @Override
        public void body(ByteBuffer piece) {}

        @Override
        public void end() {
            by.add("end");
        }

        @Override
        public void failed(Failure failure) {
            by.add(switch (failure) {
                case LOCAL_FAULT -> "local fault";
                case NEVER_SENT -> "never sent";
                case BROKEN -> "may have run";
            });
        }
    }

    private static io.undertow.client.ClientRequest request(InetSocketAddress to) {
        io.undertow.client.ClientRequest request = Requests.to(to, Methods.POST, "/");
        request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 2);
        return request;
    }

    @Test
    void aConnectionIsUsedAgainAndRetiredLongBeforeTheFarSideWould() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool kept = roomy();
            // A connection is not used again before it has been quiet for a while.
            for (int opened = -1; opened != server.connections();) {
                opened = server.connections();
                assertThat(post(kept, server.socketAddress())).isEqualTo("end");
            }
            int before = server.connections();
            assertThat(post(pool(100), server.socketAddress())).isEqualTo("end");
            await("the new connection retired", () -> server.connections() == before + 1 && server.closedConnections() == 1);
        }
    }

    @Test
    void whatBreaksAfterItsLastByteMayHaveRunAndIsNotSentAgain() throws Exception {
        try (StandIn server = new StandIn(x -> {
            if (x.number == 0) x.reply(200, "");
            else x.reset();
        })) {
            ConnectionPool pool = roomy();
            int posts = 1;
            while (post(pool, server.socketAddress()).equals("end")) posts++;
            assertThat(posts).isGreaterThan(1);
            assertThat(server.count("POST")).isEqualTo(posts);
            assertThat(server.closedConnections()).isLessThanOrEqualTo(1);
        }
    }

    /** The client library would hold the next request back behind the rest of this one. */
    @Test
    void aConnectionOnWhichARequestIsHalfWrittenIsNotUsedAgain() throws Exception {
        BlockingQueue<String> ends = GatewayFixture.queue();
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
            ConnectionPool pool = pool(1e12);
            loop.execute(() -> {
                io.undertow.client.ClientRequest request = Requests.to(at, Methods.POST, "/");
                request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 32 << 20);
                pool.start(at, request, new byte[32 << 20], new Heard(ends));
            });
            try (Socket early = server.accept()) {
                early.getOutputStream().write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes());
                assertThat(take(ends)).isEqualTo("end");
                GatewayFixture.readAll(early.getInputStream());
            }
        }
    }

    /** What stands behind an answer must never be taken for the next request's. */
    @Test
    void aSecondAnswerRightBehindIsNobodys() throws Exception {
        try (StandIn server = new StandIn(x -> {
            x.write("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            if (x.number == 0) x.reply(500, "another's");
        })) {
            ConnectionPool pool = pool(30_000);
            for (int i = 1; i <= 3; i++) {
                assertThat(post(pool, server.socketAddress())).isEqualTo("end");
                int seen = i;
                await("the connection given up", () -> server.closedConnections() == seen);
            }
        }
    }

    /** Engines must leave clients their part of the descriptors. */
    @Test
    void thePoolHoldsNoMoreThanItsPart() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = GatewayFixture.queue();
        try (StandIn server = new StandIn(waiting::add); StandIn other = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            assertThat(post(pool, other.socketAddress())).isEqualTo("end");
            for (int i = 0; i < 50; i++) {
                loop.execute(() -> pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2],
                        new Heard(heard)));
                take(waiting);
            }
            await("the idle one made room", () -> other.closedConnections() == 1);
            assertThat(post(pool, other.socketAddress())).isEqualTo("never sent");
        }
    }

    /** Attempts at engines that hang must not hide what discovery tells, nor keep states pinned. */
    @Test
    void aWatchAndAReleaseFindRoomThoughThePoolIsFull() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = GatewayFixture.queue();
        try (StandIn hanging = new StandIn(x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else waiting.add(x);
        }); StandIn agent = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            InetSocketAddress engine = hanging.socketAddress();
            for (int i = 0; i < 50; i++) {
                loop.execute(() -> pool.start(engine, request(engine), new byte[2], new Heard(heard)));
                take(waiting);
            }
            InetSocketAddress discovery = agent.socketAddress();
            loop.execute(() -> pool.start(discovery, Requests.to(discovery, Methods.GET, "/"), new byte[0],
                    new Heard(heard)));
            assertThat(take(heard)).isEqualTo("end");
            loop.execute(() -> pool.start(engine, Requests.to(engine, Methods.DELETE, "/"), new byte[0],
                    new Heard(heard)));
            assertThat(take(heard)).isEqualTo("end");
        }
    }

    /** Or what it lets go would count as pinned by the time that a crowd of reads has been served. */
    @Test
    void aReleaseGoesBeforeTheCallsThatWait() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (StandIn server = new StandIn(x -> {
            // Reads hold their connections until the release has come: behind them it would never have one.
            if (x.method.equals("DELETE")) released.countDown();
            else released.await();
            x.reply(200, "");
        })) {
            ConnectionPool pool = pool(30_000, 20_000);
            InetSocketAddress to = server.socketAddress();
            loop.execute(() -> {
                for (int i = 0; i < 60; i++) pool.start(to, request(to), new byte[2], new Heard(heard));
                pool.start(to, Requests.to(to, Methods.DELETE, "/"), new byte[0], new Heard(heard));
            });
            for (int i = 0; i < 61; i++) assertThat(take(heard)).isEqualTo("end");
        }
    }

    /** A crowd that comes at once waits for connections rather than failing on its own number. */
    @Test
    void moreCallsThanMayConnectWaitForTheirTurn() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            loop.execute(() -> {
                for (int i = 0; i < 100; i++) {
                    pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2], new Heard(heard));
                }
            });
            for (int i = 0; i < 100; i++) assertThat(take(heard)).isEqualTo("end");
        }
    }

    /** The request has run, and what its engine holds for it must be let go in time. */
    @Test
    void anAnswerWhoseHeadDoesNotEndIsGivenUpWithinTheTimeForAPiece() throws Exception {
        try (StandIn server = new StandIn(x -> {
            x.write("HTTP/1.1 202 Accepted\r\nContent-");
            x.awaitClose();
        })) {
            double startMs = loop.nowMs();
            assertThat(post(pool(30_000), server.socketAddress())).isEqualTo("may have run");
            assertThat(loop.nowMs() - startMs).isLessThan(1_500);
        }
    }

    /** After a pause of the whole program, as for a start, timers are due before connections are seen to have come up. */
    @Test
    void aConnectionThatCameUpWhileTheLoopStoodStillIsUsed() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000, 100);
            loop.execute(() -> {
                pool.start(server.socketAddress(), request(server.socketAddress()), new byte[2], new Heard(heard));
                double stoppedMs = loop.nowMs();
                while (loop.nowMs() < stoppedMs + 300) Thread.onSpinWait();
            });
            assertThat(take(heard)).isEqualTo("end");
        }
    }

    /** News that its engine drains, or its client's close, may lie unread. */
    @Test
    void anAttemptThatBeginsWhileTheLoopIsBehindAsksOnceAllThatHasComeIsRead() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch tell = new CountDownLatch(1);
        try (StandIn server = new StandIn(x -> x.reply(200, ""));
                StandIn news = new StandIn(x -> {
                    asked.countDown();
                    tell.await();
                    x.reply(200, "");
                })) {
            ConnectionPool pool = pool(30_000);
            assertThat(post(pool, server.socketAddress())).as("there is a kept connection").isEqualTo("end");
            InetSocketAddress from = news.socketAddress();
            loop.execute(() -> pool.start(from, Requests.to(from, Methods.GET, "/"), new byte[0], new Heard(heard)));
            asked.await();
            loop.execute(() -> {
                tell.countDown();
                double stoppedMs = loop.nowMs();
                while (loop.nowMs() < stoppedMs + 300) Thread.onSpinWait();
                InetSocketAddress to = server.socketAddress();
                pool.start(to, () -> request(to), "{}".getBytes(), () -> heard.add("asked"), new Heard(heard));
            });
            assertThat(take(heard)).as("the news").isEqualTo("end");
            assertThat(take(heard)).isEqualTo("asked");
            assertThat(take(heard)).isEqualTo("end");
        }
    }

    /** A connection that comes up too late is kept for others; what gave up on it is not written. */
    @Test
    void whatWaitedTooLongForItsConnectionIsNeverWritten() throws Exception {
        List<Socket> before = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress at = (InetSocketAddress) full.getLocalSocketAddress();
            // With its backlog full, the machine answers no further connection until one is accepted.
            for (int i = 0; i < 2; i++) before.add(new Socket(at.getAddress(), at.getPort()));
            assertThat(post(pool(30_000, 100), at)).isEqualTo("never sent");
            for (int i = 0; i < 2; i++) full.accept().close();
            full.setSoTimeout(2_000);
            try (Socket late = full.accept()) {
                assertThat(GatewayFixture.readAll(late.getInputStream())).isIn("", "<reset>");
            } catch (SocketTimeoutException e) {
                assertThat(before).as("the connection was called off before it came up").hasSize(2);
            }
        } finally {
            for (Socket socket : before) socket.close();
        }
    }

    @Test
    void aConnectionThatIsRefusedProvesThatNothingWasSent() throws Exception {
        // Bound and not listening: nobody else can take the port, as could happen to one that was closed.
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            InetSocketAddress at = (InetSocketAddress) bound.getLocalSocketAddress();
            assertThat(post(pool(30_000), at)).isEqualTo("never sent");
        }
    }

    /** Fails the first so many connections as the system says it; the later ones are made. */
    private void failFirst(ConnectionPool pool, int count, Supplier<IOException> error) {
        AtomicInteger made = new AtomicInteger();
        pool.connectBy(to -> made.getAndIncrement() < count ? new FailedIoFuture<>(error.get())
                : loop.thread().openStreamConnection(to, null, OptionMap.EMPTY));
    }

    private static Stream<IOException> faultsOfThisMachine() {
        return Stream.of(new SocketException("Too many open files"), new SocketException("No buffer space available"),
                new SocketException("Network is unreachable"), new BindException("Cannot assign requested address"));
    }

    @ParameterizedTest
    @MethodSource("faultsOfThisMachine")
    void aFaultOfThisMachineThatPassesCostsNothing(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 2_000);
            failFirst(pool, 3, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("end");
            assertThat(server.count("POST")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @MethodSource("faultsOfThisMachine")
    void aFaultOfThisMachineThatLastsIsNotPutDownToTheFarSide(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 150);
            failFirst(pool, Integer.MAX_VALUE, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("local fault");
            assertThat(pool.open()).isZero();
        }
    }

    private static Stream<IOException> faultsOfTheFarSide() {
        return Stream.of(new ConnectException("Connection refused"), new NoRouteToHostException("No route to host"),
                new SocketException("Connection reset"));
    }

    @ParameterizedTest
    @MethodSource("faultsOfTheFarSide")
    void whatTheFarSideRefusesIsToldAtOnce(IOException fault) throws Exception {
        try (StandIn server = GatewayFixture.reader()) {
            ConnectionPool pool = pool(30_000, 20_000);
            failFirst(pool, Integer.MAX_VALUE, () -> fault);
            assertThat(post(pool, server.socketAddress())).isEqualTo("never sent");
        }
    }

    /** After a partition the system would go on sending what it still holds, though the request went on elsewhere. */
    @Test
    void whatWasGivenUpBeforeItArrivedDoesNotArriveLater() throws Exception {
        byte[] body = new byte[400_000];
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4_096);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
            ConnectionPool pool = pool(30_000);
            CountDownLatch started = new CountDownLatch(1);
            AtomicReference<Call> call = new AtomicReference<>();
            loop.execute(() -> {
                call.set(pool.start(at, request(at), body, new Heard(heard)));
                started.countDown();
            });
            started.await();
            try (Socket accepted = server.accept()) {
                await("written whole", () -> call.get().trace().matches("written (\\d+) of \\1 .*"));
                loop.execute(() -> call.get().abort());
                await("ended", () -> pool.open() == 0);
                int arrived = 0;
                try {
                    for (int count = accepted.getInputStream().read(body); count >= 0;) {
                        arrived += count;
                        count = accepted.getInputStream().read(body);
                    }
                } catch (SocketException e) {
                    assertThat(e).hasMessageContaining("reset");
                }
                assertThat(arrived).isLessThan(body.length);
            }
        }
    }
}
