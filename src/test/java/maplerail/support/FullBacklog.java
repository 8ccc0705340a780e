package maplerail.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** An address at which connections never come up: its backlog is full and nobody accepts. */
public final class FullBacklog implements AutoCloseable {
    private static final int BACKLOG = 1;
    private static final int FILLERS = 8; // more than the backlog, whatever the system rounds it to

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final List<SocketChannel> fillers = new ArrayList<>();

    /** Fills the backlog. */
    public FullBacklog() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect((InetSocketAddress) server.getLocalSocketAddress());
            fillers.add(filler);
        }
    }

    /** Where it is, as in the list of engines. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel filler : fillers) filler.close();
        server.close();
    }
}
