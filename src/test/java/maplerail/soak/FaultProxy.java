package maplerail.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The network between gateways and one engine: passes bytes on, and can fall silent, reset, or hold them for a while.
 * A silent connection stays open on both sides and nothing that is written on it arrives.
 */
final class FaultProxy implements AutoCloseable {
    /** Hears what becomes of connections, named by the port from which they reach the engine. */
    interface Listener {
        /** The gateway has closed it. */
        void givenUp(int connection);

        /** Nothing passes on it any more. */
        void silenced(int connection);
    }

    private static final int BACKLOG = 16;
    private static final int FILLERS = 2 * BACKLOG + 4; // enough to fill the backlog, whatever the system rounds it to
    private static final int BUFFER = 16 * 1024;
    private static final int HOLD_STEP_MS = 5;
    private static final double RESET_AFTER_CUT_MS = 100;
    private static final double DELAY_SEEN_MS = 500; // after a hold, for what had waited behind it

    private final ServerSocket server;
    private final Listener listener;
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private volatile InetSocketAddress target;
    private volatile boolean silent;
    private volatile boolean refusing;
    private volatile double backSinceMs = Double.NEGATIVE_INFINITY;
    private volatile double holdUntilMs;

    FaultProxy(InetSocketAddress target, Listener listener) throws IOException {
        this.target = target;
        this.listener = listener;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Daemon.start("proxy", this::accept);
    }

    private final class Pipe {
        final Socket gateway;
        final Socket engine;
        volatile boolean silenced;

        Pipe(Socket gateway, Socket engine) {
            this.gateway = gateway;
            this.engine = engine;
        }

        void silence() {
            silenced = true;
            listener.silenced(engine.getLocalPort());
        }

        void pump(Socket from, Socket to, boolean fromGateway) throws IOException, InterruptedException {
            byte[] buffer = new byte[BUFFER];
            try {
                for (int count = from.getInputStream().read(buffer); count >= 0;) {
                    while (Ledger.nowMs() < holdUntilMs) Thread.sleep(HOLD_STEP_MS);
                    if (!silenced) to.getOutputStream().write(buffer, 0, count);
                    count = from.getInputStream().read(buffer);
                }
            } finally {
                // Of a silent connection neither side hears anything, not even its end.
                if (fromGateway) listener.givenUp(engine.getLocalPort());
                if (!silenced) end();
            }
        }

        void end() {
            pipes.remove(this);
            Daemon.close(gateway);
            Daemon.close(engine);
        }

        void reset() throws IOException {
            gateway.setSoLinger(true, 0);
            engine.setSoLinger(true, 0);
            end();
        }
    }

    private void accept() throws Exception {
        while (true) {
            while (silent) Thread.sleep(HOLD_STEP_MS);
            Socket gateway = server.accept();
            // What came into the backlog while it filled is reset once the engine is back, as machines do.
            if (refusing || silent || Ledger.nowMs() < backSinceMs + RESET_AFTER_CUT_MS) {
                gateway.setSoLinger(true, 0);
                gateway.close();
                continue;
            }
            Daemon.start("pipe", () -> connect(gateway));
        }
    }

    private void connect(Socket gateway) throws Exception {
        gateway.setTcpNoDelay(true);
        Socket engine;
        try {
            engine = new Socket(target.getAddress(), target.getPort());
            engine.setTcpNoDelay(true);
        } catch (IOException e) {
            gateway.setSoLinger(true, 0);
            gateway.close();
            return;
        }
        Pipe pipe = new Pipe(gateway, engine);
        pipes.add(pipe);
        Daemon.start("pump", () -> pipe.pump(engine, gateway, false));
        pipe.pump(gateway, engine, true);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Leads new connections elsewhere, as after a restart of the engine. */
    void target(InetSocketAddress to) {
        target = to;
    }

    /** The connections that are open now fall silent for good; later ones work. */
    void silenceOpenConnections() {
        pipes.forEach(Pipe::silence);
    }

    /** One connection, named as to the listener, falls silent for good. */
    void silence(int connection) {
        pipes.stream().filter(pipe -> pipe.engine.getLocalPort() == connection).forEach(Pipe::silence);
    }

    /** Open connections fall silent and new ones do not come up, until told otherwise. */
    void cut(boolean off) throws IOException {
        if (!off) backSinceMs = Ledger.nowMs();
        silent = off;
        if (off) {
            silenceOpenConnections();
            fillBacklog();
            return;
        }
        for (SocketChannel filler : fillers) filler.close();
        fillers.clear();
        pipes.stream().filter(pipe -> pipe.silenced).forEach(Pipe::end);
    }

    /** With a full backlog the system drops what would open a connection, as a machine does that is cut off. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address());
            fillers.add(filler);
        }
    }

    /** New connections are reset at once. */
    void refuse(boolean on) {
        refusing = on;
    }

    /** Bytes wait for so long. */
    void hold(double forMs) {
        holdUntilMs = Ledger.nowMs() + forMs;
    }

    /** True while, or shortly after, bytes wait here. */
    boolean delays() {
        return Ledger.nowMs() < holdUntilMs + DELAY_SEEN_MS;
    }

    /** Resets all open connections. */
    void reset() throws IOException {
        for (Pipe pipe : Set.copyOf(pipes)) {
            listener.silenced(pipe.engine.getLocalPort());
            pipe.reset();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : Set.copyOf(pipes)) pipe.end();
    }
}
