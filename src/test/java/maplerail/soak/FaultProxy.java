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
 * A TCP proxy that stands for the network between the gateways and one engine. It forwards bytes, and can silence
 * connections, reset them or delay bytes. A silent connection stays open on both sides, and nothing that is written on
 * it arrives.
 */
final class FaultProxy implements AutoCloseable {
    /** Is notified of events on connections, which are identified by the local port of the proxy towards the engine. */
    interface Listener {
        /** The gateway has closed the connection. */
        void closedByGateway(int connection);

        /** The connection was silenced or reset: nothing passes on it any more. */
        void disturbed(int connection);
    }

    private static final int BACKLOG = 16;
    private static final int FILLER_COUNT = 2 * BACKLOG + 4; // fills the backlog even if the system rounds it up
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POLL_MS = 5;
    private static final double RESET_AFTER_CUT_MS = 100;
    /** After a delay, bytes that were queued behind it still arrive late for this time. */
    private static final double DELAY_AFTERMATH_MS = 500;

    private final ServerSocket server;
    private final Listener listener;
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private volatile InetSocketAddress target;
    private volatile boolean silent;
    private volatile boolean refusing;
    private volatile double reconnectedMs = Double.NEGATIVE_INFINITY;
    private volatile double delayUntilMs;

    FaultProxy(InetSocketAddress target, Listener listener) throws IOException {
        this.target = target;
        this.listener = listener;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        DaemonThreads.start("proxy", this::accept);
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
            listener.disturbed(engine.getLocalPort());
        }

        void pump(Socket from, Socket to, boolean fromGateway) throws IOException, InterruptedException {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                for (int count = from.getInputStream().read(buffer); count >= 0;) {
                    while (Ledger.nowMs() < delayUntilMs) Thread.sleep(POLL_MS);
                    if (!silenced) to.getOutputStream().write(buffer, 0, count);
                    count = from.getInputStream().read(buffer);
                }
            } finally {
                // On a silent connection neither side is notified of anything, not even of the close.
                if (fromGateway) listener.closedByGateway(engine.getLocalPort());
                if (!silenced) close();
            }
        }

        void close() {
            pipes.remove(this);
            DaemonThreads.closeQuietly(gateway);
            DaemonThreads.closeQuietly(engine);
        }

        void reset() throws IOException {
            gateway.setSoLinger(true, 0);
            engine.setSoLinger(true, 0);
            close();
        }
    }

    private void accept() throws Exception {
        while (true) {
            while (silent) Thread.sleep(POLL_MS);
            Socket gateway = server.accept();
            // Connections that entered the backlog while it was filling are reset once the engine is back, as hosts do.
            if (refusing || silent || Ledger.nowMs() < reconnectedMs + RESET_AFTER_CUT_MS) {
                gateway.setSoLinger(true, 0);
                gateway.close();
                continue;
            }
            DaemonThreads.start("pipe", () -> connect(gateway));
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
        DaemonThreads.start("pump", () -> pipe.pump(engine, gateway, false));
        pipe.pump(gateway, engine, true);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Sets the address to which new connections lead, as after a restart of the engine. */
    void setTarget(InetSocketAddress newTarget) {
        target = newTarget;
    }

    /** Silences the currently open connections for good; later ones work. */
    void silenceOpenConnections() {
        pipes.forEach(Pipe::silence);
    }

    /** Silences one connection for good; the listener identifies it by the same number. */
    void silence(int connection) {
        pipes.stream().filter(pipe -> pipe.engine.getLocalPort() == connection).forEach(Pipe::silence);
    }

    /** While set, open connections are silent and new ones are not established. */
    void setCutOff(boolean on) throws IOException {
        if (!on) reconnectedMs = Ledger.nowMs();
        silent = on;
        if (on) {
            silenceOpenConnections();
            fillBacklog();
            return;
        }
        for (SocketChannel filler : fillers) filler.close();
        fillers.clear();
        pipes.stream().filter(pipe -> pipe.silenced).forEach(Pipe::close);
    }

    /** With a full backlog the system drops connection attempts, as if the host were cut off from the network. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < FILLER_COUNT; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address());
            fillers.add(filler);
        }
    }

    /** While set, new connections are reset at once. */
    void setRefusing(boolean on) {
        refusing = on;
    }

    /** Delays all bytes from now on for the given time. */
    void delayBytes(double forMs) {
        delayUntilMs = Ledger.nowMs() + forMs;
    }

    /** True while bytes are delayed, or shortly after. */
    boolean isDelaying() {
        return Ledger.nowMs() < delayUntilMs + DELAY_AFTERMATH_MS;
    }

    /** Resets all open connections. */
    void resetConnections() throws IOException {
        for (Pipe pipe : Set.copyOf(pipes)) {
            listener.disturbed(pipe.engine.getLocalPort());
            pipe.reset();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : Set.copyOf(pipes)) pipe.close();
    }
}
