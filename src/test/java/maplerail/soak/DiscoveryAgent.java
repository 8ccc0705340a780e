package maplerail.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.support.StandIn;

/** The agent on one gateway's machine: answers at once with what it has, or is silent while discovery is down. */
final class DiscoveryAgent implements AutoCloseable {
    private static final Pattern INDEX = Pattern.compile("index=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");

    private final String gateway;
    private final Directory directory;
    private final Ledger ledger;
    private final StandIn server;
    private volatile boolean silent;
    private volatile boolean busy;
    private volatile double usableSinceMs = Ledger.nowMs();

    DiscoveryAgent(String gateway, Directory directory, Ledger ledger) throws IOException {
        this.gateway = gateway;
        this.directory = directory;
        this.ledger = ledger;
        server = new StandIn(this::answer);
    }

    String address() {
        return server.address();
    }

    /** It says nothing to any call, also later to those that came meanwhile. */
    void silence(boolean on) {
        silent = on;
        usableSinceMs = Ledger.nowMs();
    }

    /** It turns calls away. */
    void busy(boolean on) {
        busy = on;
        usableSinceMs = Ledger.nowMs();
    }

    /** Since when it answers; NaN while it does not. */
    double usableSinceMs() {
        return silent || busy ? Double.NaN : usableSinceMs;
    }

    private static long number(Pattern pattern, String target, long other) {
        Matcher found = pattern.matcher(target);
        return found.find() ? Long.parseLong(found.group(1)) : other;
    }

    private void answer(StandIn.Exchange exchange) throws Exception {
        if (busy) {
            exchange.reply(503, "busy");
            return;
        }
        long known = number(INDEX, exchange.target, -1);
        directory.await(known, number(WAIT, exchange.target, 0));
        // It may have begun to turn calls away meanwhile, and learns nothing then.
        if (busy) {
            exchange.reply(503, "busy");
            return;
        }
        if (silent) {
            exchange.awaitEnd();
            return;
        }
        List<Map.Entry<String, Directory.Entry>> told = new ArrayList<>();
        exchange.reply(200, directory.since(known, told::add));
        // Counted from after the write, as the gateway cannot know earlier.
        told.forEach(entry -> ledger.told(gateway, entry.getKey(), entry.getValue()));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
