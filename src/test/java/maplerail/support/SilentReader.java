package maplerail.support;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A reader that runs, and whose connections can fall silent with no error, as in a cut: what is sent on them does not
 * arrive, either way, while others work.
 */
public final class SilentReader implements AutoCloseable {
    public final HeldTimes times = new HeldTimes();
    private final StandIn server;
    private final Set<Integer> connections = ConcurrentHashMap.newKeySet();
    private final Set<Integer> silent = ConcurrentHashMap.newKeySet();
    private final Set<String> lost = ConcurrentHashMap.newKeySet();
    private final CountDownLatch closed = new CountDownLatch(1);

    /** What a reader does with a read. */
    public interface Reading {
        void handle(SilentReader reader, StandIn.Exchange read) throws Exception;
    }

    public SilentReader(Reading reading) throws IOException {
        server = new StandIn(exchange -> {
            connections.add(exchange.connection());
            if (silent.contains(exchange.connection())) {
                closed.await();
            } else if (exchange.method.equals("DELETE")) {
                times.released(id(exchange));
                exchange.reply(204, "");
            } else {
                times.out(id(exchange));
                reading.handle(this, exchange);
            }
        });
    }

    /** The id of the request that is read or released. */
    public static String id(StandIn.Exchange exchange) {
        return exchange.method.equals("DELETE") ? exchange.target.replaceFirst(".*/", "")
                : exchange.headers.get("req-id");
    }

    /** Answers a read well; its state is held from now on. */
    public void answer(StandIn.Exchange read) throws IOException {
        times.held(id(read));
        read.reply(202, "{\"cached_tokens\":0}");
    }

    /** Holds the state of a read after some time; all that is heard of that is the beginning of an answer, or nothing. */
    public void lose(StandIn.Exchange read, int readMs, String heard) throws Exception {
        silent.add(read.connection());
        lost.add(id(read));
        TimeUnit.MILLISECONDS.sleep(readMs);
        times.held(id(read));
        read.write(heard);
        closed.await();
    }

    /** Lets all connections that were made by now fall silent. */
    public void silenceConnections() {
        silent.addAll(connections);
    }

    /** True once a read of this id has come whose answer is lost. */
    public boolean lost(String id) {
        return lost.contains(id);
    }

    /** How many connections were used. */
    public int connections() {
        return connections.size();
    }

    /** Where it is, as in the list of engines. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        server.close();
    }
}
