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

/** Watches the platform's list: each next call follows the last answer at once, well within 200 ms. */
public final class PlatformWatch {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformWatch.class);
    /**
     * What a call may wait for news. With the grace and the next call's answer it has to stay under the 6 s after
     * which a change counts as told that a silent call missed.
     */
    private static final long WAIT_MS = 1_500;
    /** Past its wait, after which a call is held to be lost; a discovery that is behind answers after 2 s at the latest. */
    private static final double GRACE_MS = 2_250;
    /** Without a byte of an answer that has begun late, after which its call is held to be lost as well. */
    private static final double SILENT_MS = 500;
    private static final double DOUBT_MS = 2_000; // after a move, in which a list older than ours is not believed

    private final ConnectionPool pool;
    private final XnioLoop loop;
    private InetSocketAddress at;
    private final NameTables names;
    private final Consumer<EngineList> news;
    private final BackOff backOff;
    private String trouble = "";
    private long version = -1;
    private long newest = -1; // of what was told at any address
    private boolean unconfirmed; // what is known is of an earlier life: the first call must not wait for news
    private double doubtUntilMs = Double.NEGATIVE_INFINITY;

    /** Makes a watch that tells each piece of news, for one of so many nodes. */
    public PlatformWatch(ConnectionPool pool, XnioLoop loop, InetSocketAddress at, NameTables names, int nodes,
            long seed,
            Consumer<EngineList> news) {
        this.pool = pool;
        this.loop = loop;
        this.at = at;
        this.names = names;
        this.backOff = new BackOff(nodes, seed);
        this.news = news;
    }

    /**
     * Goes on from a list that is known, so that discovery need not send it again; called before the first call. That
     * call is answered at once where the list has to be confirmed, and waits for news where it need not be.
     */
    public void resumeFrom(long known, boolean confirm) {
        version = known;
        newest = known;
        unconfirmed = confirm;
    }

    /** Asks for the whole list, unless one is known, then for changes, for good. */
    public void poll() {
        String target = "/api/targets" + (version < 0 ? "" : "?index=" + version + "&wait=" + waitMs());
        new WatchCall().start(Requests.to(at, Methods.GET, target));
    }

    private long waitMs() {
        return version < 0 || unconfirmed ? 0 : WAIT_MS;
    }

    /** Asks at another address from now on. The call that is still out at the old one is heard to its end. */
    public void switchAgent(InetSocketAddress to) {
        if (to.equals(at)) return;
        at = to;
        version = -1;
        backOff.reset();
        doubtUntilMs = loop.nowMs() + DOUBT_MS;
        poll();
    }

    /** A trouble that lasts is told once, not with each call. */
    private void tell(String now) {
        if (!now.equals(trouble)) LOG.warn("discovery: {}", now.isEmpty() ? "answers again" : now);
        trouble = now;
    }

    private final class WatchCall extends TextResponseHandler {
        private final InetSocketAddress asked = at;
        private final double askedMs = loop.nowMs();
        private boolean refused;

        void start(ClientRequest request) {
            Call call = pool.start(at, request, new byte[0], this);
            // Guards against an agent that was cut off: its connection would stay open and silent.
            loop.schedule(loop.nowMs() + waitMs() + GRACE_MS, () -> look(call));
        }

        private void look(Call call) {
            if (expire(call)) loop.schedule(loop.nowMs() + SILENT_MS, () -> look(call));
        }

        @Override
        protected boolean whole(int status, HeaderMap headers, String text) {
            // A call that was turned away takes back nothing that was told: what we have heard so far stays true, and
            // whole lists asked for in its place by every node would keep an overloaded discovery overloaded.
            refused = status == 429 || status == 503;
            if (status != 200) {
                tell("status " + status + " " + text.strip());
                return false;
            }
            EngineList list;
            try {
                list = EngineList.read(JsonValue.parseObject("list", text), names);
            } catch (ConfigException e) {
                tell(e.getMessage());
                if (asked.equals(at)) version = -1;
                return false;
            }
            tell("");
            // Guards against a new agent that has yet to hear of what ours had told: engines that drain would be
            // listed as ready once more.
            boolean older = list.version() < newest && loop.nowMs() < doubtUntilMs;
            if (asked.equals(at)) {
                if (older) return false;
                version = list.version();
                unconfirmed = false;
                backOff.reset();
                poll();
            }
            if (older) return true;
            newest = list.version();
            news.accept(list);
            return true;
        }

        @Override
        protected void none() {
            if (!asked.equals(at)) return; // the other address has its own call out
            double now = loop.nowMs();
            loop.schedule(refused ? backOff.againMs(askedMs, now) : now + BackOff.LEAST_MS, () -> {
                if (asked.equals(at)) poll();
            });
        }
    }
}
