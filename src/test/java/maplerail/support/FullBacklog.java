package maplerail.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** An address at which connections are never established: its backlog is full and nothing accepts. */
public final class FullBacklog implements AutoCloseable {
    private static final int BACKLOG = 1;
    private static final int FILLER_COUNT = 8; // more than the backlog even if the system rounds it up

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final List<SocketChannel> fillers = new ArrayList<>();

    /** Opens the server socket and fills its backlog. */
    public FullBacklog() throws IOException {
        for (int i = 0; i < FILLER_COUNT; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect((InetSocketAddress) server.getLocalSocketAddress());
            fillers.add(filler);
        }
    }

    /** The address in the form host:port, as in the list of engines. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel filler : fillers) filler.close();
        server.close();
    }
}
