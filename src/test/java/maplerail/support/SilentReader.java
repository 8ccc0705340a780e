package maplerail.support;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A running reader whose connections can fall silent with no error, as in a network partition: what is sent on them
 * does not arrive in either direction, while other connections work.
 */
public final class SilentReader implements AutoCloseable {
    public final HeldTimes times = new HeldTimes();
    private final StandIn server;
    private final Set<Integer> connections = ConcurrentHashMap.newKeySet();
    private final Set<Integer> silent = ConcurrentHashMap.newKeySet();
    private final Set<String> lost = ConcurrentHashMap.newKeySet();
    private final CountDownLatch closed = new CountDownLatch(1);

    /** Handles a read at the reader. */
    public interface ReadHandler {
        void handle(SilentReader reader, StandIn.Exchange read) throws Exception;
    }

    public SilentReader(ReadHandler handler) throws IOException {
        server = new StandIn(exchange -> {
            connections.add(exchange.connection());
            if (silent.contains(exchange.connection())) {
                closed.await();
            } else if (exchange.method.equals("DELETE")) {
                times.released(id(exchange));
                exchange.reply(204, "");
            } else {
                times.attemptInFlight(id(exchange));
                handler.handle(this, exchange);
            }
        });
    }

    /** The id of the request that an exchange reads or releases. */
    public static String id(StandIn.Exchange exchange) {
        return exchange.method.equals("DELETE") ? exchange.target.replaceFirst(".*/", "")
                : exchange.headers.get("req-id");
    }

    /** Answers a read successfully; its state is held from now on. */
    public void answer(StandIn.Exchange read) throws IOException {
        times.held(id(read));
        read.reply(202, "{\"cached_tokens\":0}");
    }

    /**
     * Finishes a read and holds its state, but loses the answer: the gateway receives only the start of it, or nothing.
     *
     * @param readMs the duration of the read
     * @param answerStart the bytes of the answer that reach the gateway; may be empty
     */
    public void loseAnswer(StandIn.Exchange read, int readMs, String answerStart) throws Exception {
        silent.add(read.connection());
        lost.add(id(read));
        TimeUnit.MILLISECONDS.sleep(readMs);
        times.held(id(read));
        read.write(answerStart);
        closed.await();
    }

    /** Silences all connections that have been used so far. */
    public void silenceConnections() {
        silent.addAll(connections);
    }

    /** True once a read of this request has arrived whose answer is lost. */
    public boolean isAnswerLost(String id) {
        return lost.contains(id);
    }

    /** The number of connections that have been used. */
    public int connections() {
        return connections.size();
    }

    /** The address in the form host:port, as in the list of engines. */
    public String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        server.close();
    }
}
