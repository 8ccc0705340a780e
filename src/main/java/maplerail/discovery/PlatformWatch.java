package maplerail.discovery;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.NameTables;
import maplerail.config.JsonValue;
import maplerail.net.Call;
import maplerail.net.ConnectionPool;
import maplerail.net.Requests;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the platform's list of engines by long polling. Each call follows the previous response at once, well within
 * 200 ms.
 */
public final class PlatformWatch {
    /** The version of a list that is not known. */
    public static final long NO_VERSION = -1;
    private static final Logger LOG = LoggerFactory.getLogger(PlatformWatch.class);
    /**
     * Longest time that a call waits for a change at the agent. Together with the grace time and the response to the
     * next call it has to stay under 6 s, after which a change missed by a silent call counts as known to the node.
     */
    private static final long MAX_WAIT_MS = 1_500;
    /**
     * Time past the wait after which a call is considered lost; an overloaded discovery service responds after 2 s at
     * the latest.
     */
    private static final double WAIT_GRACE_MS = 2_250;
    /**
     * Time from a call to the next one while the first list is awaited. An agent that was silent may answer only calls that
     * it gets after that; one that is slow answers the first of them, which stays open.
     */
    private static final double FIRST_LIST_RETRY_MS = 1_000;
    /** Time without a further byte after which the call of a response that started late is considered lost as well. */
    private static final double MAX_SILENCE_MS = 500;
    /**
     * Time from a call to the next one although its response is still arriving: whatever changes meanwhile counts as known
     * 6 s later, however long that response takes.
     */
    private static final double MAX_ARRIVAL_MS = 5_500;
    /** Longest time for which a response may arrive beside later calls. */
    private static final double MAX_LATE_ARRIVAL_MS = 60_000;
    /** Time after a switch of agents in which a list older than the newest known one is rejected. */
    private static final double REJECT_OLDER_MS = 2_000;

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private InetSocketAddress agent;
    private final NameTables names;
    private final Consumer<EngineList> onList;
    private final BackOff backOff;
    private String problem = "";
    private long version = NO_VERSION;
    /** The newest version received from any agent. */
    private long newestVersion = NO_VERSION;
    /** True while the agent's first answer is awaited, so that the call must not wait for a change. */
    private boolean awaitsFirstList;
    private double rejectOlderUntilMs = Double.NEGATIVE_INFINITY;
    /** The call whose end is followed by the next one. */
    private WatchCall current;
    /** An earlier call whose response is still arriving beside the current one; null if there is none. */
    private WatchCall late;

    /**
     * Creates a watch.
     *
     * @param nodes number of nodes that call the discovery service
     * @param seed seed of the random retry times of this node
     * @param onList called with each list received
     */
    public PlatformWatch(ConnectionPool pool, XnioLoop loop, InetSocketAddress agent, NameTables names, int nodes,
            long seed, Consumer<EngineList> onList) {
        this.pool = pool;
        this.loop = loop;
        this.agent = agent;
        this.names = names;
        this.backOff = new BackOff(nodes, seed);
        this.onList = onList;
    }

    /**
     * Continues from a known list, so that discovery need not send it again; must be called before the first poll.
     *
     * @param knownVersion the version of that list, or {@link #NO_VERSION}
     * @param mustConfirm whether nothing is served before discovery has answered, so that the first call requests an
     *            immediate response and is repeated soon; otherwise it waits for a change
     */
    public void resumeFrom(long knownVersion, boolean mustConfirm) {
        version = knownVersion;
        newestVersion = knownVersion;
        awaitsFirstList = mustConfirm;
    }

    /** Requests the whole list unless one is known, then changes, without end. */
    public void poll() {
        String target = "/api/targets" + (version < 0 ? "" : "?index=" + version + "&wait=" + waitMs());
        current = new WatchCall();
        current.start(Requests.to(agent, Methods.GET, target));
    }

    private long waitMs() {
        return version < 0 || awaitsFirstList ? 0 : MAX_WAIT_MS;
    }

    /** Switches to another agent. A call that is still in flight to the old one is processed when it ends. */
    public void switchAgent(InetSocketAddress newAgent) {
        if (newAgent.equals(agent)) return;
        agent = newAgent;
        version = NO_VERSION;
        backOff.reset();
        rejectOlderUntilMs = loop.nowMs() + REJECT_OLDER_MS;
        poll();
    }

    /** Logs a problem when it changes, rather than with each call. */
    private void logProblem(String current) {
        if (!current.equals(problem)) LOG.warn("discovery: {}", current.isEmpty() ? "responding again" : current);
        problem = current;
    }

    private final class WatchCall extends TextResponseHandler {
        private final InetSocketAddress askedAgent = agent;
        private final double sentMs = loop.nowMs();
        private boolean refused;
        private Call call;

        void start(ClientRequest request) {
            call = pool.start(agent, request, new byte[0], this);
            // Guards against an agent that was cut off, whose connection would stay open and silent.
            loop.schedule(loop.nowMs() + waitMs() + WAIT_GRACE_MS, this::checkProgress);
            if (awaitsFirstList) loop.schedule(loop.nowMs() + FIRST_LIST_RETRY_MS, this::retryFirstList);
        }

        private void retryFirstList() {
            if (this != current || !awaitsFirstList || !isSilent()) return;
            call.closeIdleToPeer();
            continueBeside();
        }

        private void checkProgress() {
            boolean mayBeSilent = awaitsFirstList && isSilent();
            if (!mayBeSilent && !abortIfStalled(call)) return;
            double nowMs = loop.nowMs();
            if (nowMs >= sentMs + MAX_LATE_ARRIVAL_MS) {
                abort(call);
                return;
            }
            if (this == current && nowMs >= sentMs + MAX_ARRIVAL_MS && !continueBeside()) return;
            double nextMs = nowMs + MAX_SILENCE_MS;
            loop.schedule(this == current ? Math.min(nextMs, sentMs + MAX_ARRIVAL_MS) : nextMs, this::checkProgress);
        }

        /**
         * Starts the next call while the response to this one is still arriving: it may be large, or never end. If an
         * earlier call is still open, too, this call is aborted instead, as that one has come further.
         *
         * @return true if this call continues
         */
        private boolean continueBeside() {
            if (late != null && !late.ended()) {
                abort(call);
                return false;
            }
            late = this;
            poll();
            return true;
        }

        /** Handles a list that has arrived after later calls were made; one that tells nothing new is ignored. */
        private void onLateList(EngineList list) {
            if (list.version() <= newestVersion && !awaitsFirstList) return;
            WatchCall replaced = current;
            newestVersion = list.version();
            version = newestVersion;
            awaitsFirstList = false;
            poll();
            replaced.abort(replaced.call);
            onList.accept(list);
        }

        @Override
        protected boolean onResponse(int status, HeaderMap headers, String text) {
            // A refused call does not invalidate the known list. If every node requested the whole list instead, an
            // overloaded discovery service would stay overloaded.
            refused = status == 429 || status == 503;
            if (status != 200) {
                logProblem("status " + status + " " + text.strip());
                return false;
            }
            EngineList list;
            try {
                list = EngineList.read(JsonValue.parseObject("list", text), names);
            } catch (ConfigException e) {
                logProblem(e.getMessage());
                if (this == current) version = NO_VERSION;
                return false;
            }
            logProblem("");
            if (this != current && askedAgent.equals(agent)) {
                onLateList(list);
                return true;
            }
            // Guards against a new agent that has not yet received the changes known here: engines that drain would be
            // listed as ready again.
            boolean older = list.version() < newestVersion && loop.nowMs() < rejectOlderUntilMs;
            if (this == current) {
                if (older) return false;
                version = list.version();
                awaitsFirstList = false;
                backOff.reset();
                if (late != null) late.abort(late.call);
                poll();
            }
            if (older) return true;
            newestVersion = list.version();
            onList.accept(list);
            return true;
        }

        @Override
        protected void onFailure() {
            if (this != current) return; // a later call is in flight
            double nowMs = loop.nowMs();
            loop.schedule(refused ? backOff.nextCallMs(sentMs, nowMs) : nowMs + BackOff.MIN_DELAY_MS, () -> {
                if (this == current) poll();
            });
        }
    }
}
