package maplerail.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.support.StandIn;

/** The local discovery agent of one gateway. It answers long polls, and can fall silent or reply 503. */
final class DiscoveryAgent implements AutoCloseable {
    private static final Pattern INDEX = Pattern.compile("index=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");

    private final String gateway;
    private final EngineDirectory directory;
    private final Ledger ledger;
    private final StandIn server;
    private volatile boolean silent;
    private volatile boolean busy;
    private volatile double answeringSinceMs = Ledger.nowMs();

    DiscoveryAgent(String gateway, EngineDirectory directory, Ledger ledger) throws IOException {
        this.gateway = gateway;
        this.directory = directory;
        this.ledger = ledger;
        server = new StandIn(this::answer);
    }

    String address() {
        return server.address();
    }

    /** While set, no call is answered. Calls that arrive meanwhile are not answered later either. */
    void setSilent(boolean on) {
        silent = on;
        answeringSinceMs = Ledger.nowMs();
    }

    /** While set, calls are answered with 503. */
    void setBusy(boolean on) {
        busy = on;
        answeringSinceMs = Ledger.nowMs();
    }

    /** The time since which calls are answered, in milliseconds; NaN while they are not. */
    double answeringSinceMs() {
        return silent || busy ? Double.NaN : answeringSinceMs;
    }

    private static long parameter(Pattern pattern, String target, long fallback) {
        Matcher found = pattern.matcher(target);
        return found.find() ? Long.parseLong(found.group(1)) : fallback;
    }

    private void answer(StandIn.Exchange exchange) throws Exception {
        if (busy) {
            exchange.reply(503, "busy");
            return;
        }
        long knownVersion = parameter(INDEX, exchange.target, -1);
        directory.awaitNewerThan(knownVersion, parameter(WAIT, exchange.target, 0));
        // The agent may have become busy during the wait; the gateway then learns nothing from this call.
        if (busy) {
            exchange.reply(503, "busy");
            return;
        }
        if (silent) {
            exchange.awaitClose();
            return;
        }
        List<Map.Entry<String, EngineDirectory.Entry>> sent = new ArrayList<>();
        exchange.reply(200, directory.changesSince(knownVersion, sent::add));
        // Recorded after the write, because the gateway cannot know the list earlier.
        sent.forEach(entry -> ledger.delivered(gateway, entry.getKey(), entry.getValue()));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
