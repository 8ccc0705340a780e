package maplerail.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import maplerail.config.ConfigException;
import maplerail.config.JsonValue;
import maplerail.net.Call;
import maplerail.net.ConnectionPool;
import maplerail.net.Requests;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Repeats one of Consul's blocking queries. The last result stays in force while the query fails. */
final class BlockingQuery {
    private static final Logger LOG = LoggerFactory.getLogger(BlockingQuery.class);
    private static final long WAIT_S = 20;
    /** Time past the requested wait; Consul extends the wait by up to a sixteenth. */
    private static final double WAIT_GRACE_MS = 2_000 + WAIT_S * 1_000 / 16;
    private static final double INITIAL_RETRY_DELAY_MS = 100;
    private static final double MAX_RETRY_DELAY_MS = 5_000;

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private InetSocketAddress agent;
    private final String path;
    private final Consumer<JsonValue> onChange;
    private long index;
    private double retryDelayMs = INITIAL_RETRY_DELAY_MS;

    BlockingQuery(ConnectionPool pool, XnioLoop loop, InetSocketAddress agent, String path,
            Consumer<JsonValue> onChange) {
        this.pool = pool;
        this.loop = loop;
        this.agent = agent;
        this.path = path;
        this.onChange = onChange;
    }

    /** Switches to another agent and starts over, as each agent has its own indexes. */
    void switchAgent(InetSocketAddress newAgent) {
        agent = newAgent;
        index = 0;
        retryDelayMs = INITIAL_RETRY_DELAY_MS;
        poll();
    }

    void poll() {
        String target = path + (index == 0 ? "" : "?index=" + index + "&wait=" + WAIT_S + "s");
        QueryHandler handler = new QueryHandler();
        Call call = pool.start(agent, Requests.to(agent, Methods.GET, target), new byte[0], handler);
        checkProgressAfter(WAIT_S * 1_000 + WAIT_GRACE_MS, handler, call);
    }

    private void checkProgressAfter(double afterMs, QueryHandler handler, Call call) {
        loop.schedule(loop.nowMs() + afterMs, () -> {
            if (handler.abortIfStalled(call)) checkProgressAfter(WAIT_GRACE_MS, handler, call);
        });
    }

    /**
     * Returns the index for the next query. If the index goes backwards (a restored or new server), the query starts
     * over, as a wait for the old index might never end. An index that is missing or not above 0 also starts over, as
     * it would make the query a busy loop.
     */
    static long nextIndex(long last, String received) {
        long index = received != null && received.matches("[0-9]{1,18}") ? Long.parseLong(received) : 0;
        return index < last ? 0 : index;
    }

    private final class QueryHandler extends TextResponseHandler {
        private final InetSocketAddress askedAgent = agent;

        @Override
        protected boolean onResponse(int status, HeaderMap headers, String text) {
            if (!askedAgent.equals(agent)) return true;
            try {
                if (status != 200) throw new ConfigException("status " + status);
                JsonValue response = JsonValue.parse(path, text);
                long previousIndex = index;
                index = nextIndex(previousIndex, headers.getFirst("X-Consul-Index"));
                // If the wait ended without a change, the index is the same.
                if (index == 0 || index != previousIndex) onChange.accept(response);
            } catch (ConfigException e) {
                LOG.warn("consul: {}", e.getMessage());
                index = 0;
                return false;
            }
            retryDelayMs = INITIAL_RETRY_DELAY_MS;
            if (index > 0) poll();
            else pollLater(INITIAL_RETRY_DELAY_MS);
            return true;
        }

        @Override
        protected void onFailure() {
            pollLater(retryDelayMs);
            retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
        }

        private void pollLater(double afterMs) {
            loop.schedule(loop.nowMs() + afterMs, () -> {
                if (askedAgent.equals(agent)) poll(); // otherwise a query to the new agent is in flight
            });
        }
    }
}
