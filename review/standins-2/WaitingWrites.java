import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The writers of the gateways' zone die. The writers of the other zone get all the work, and writes wait there for room
 * while their states wait at the readers. Clients give up meanwhile.
 */
final class WaitingWrites extends SmallFleet {
    /** The limit of the rule on what is held, with the 300 ms that the rules on sockets add. */
    private static final double PIN_LIMIT_MS = 250 + 300;
    /** One way to an engine of the other zone: the site has 1.4 to 2.6 ms. */
    private static final double CROSS_MS = 2.0;
    /** Prompts of 4,000 tokens in a memory of 110 to 170 thousand. */
    private static final int ROOM = 35;

    private WaitingWrites(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(2);
        for (Engine engine : cluster.engines.values()) {
            if (engine.entry.site.equals("ub-west")) engine.server.delayMs = CROSS_MS;
            if (!engine.reader) {
                engine.slots = ROOM;
                engine.tokens = 100;
                engine.tokenMs = 55;
            }
        }
        startGateways(hasty());
        spawn("judge", this::watchStates);
        for (Gateway gateway : gateways) loadOfClientsThatGiveUp(gateway, 11);
        sleep(10_000);
        if (trouble) {
            for (String host : List.of("s-write0", "s-write1")) {
                note("%s dies", host);
                cluster.engines.get(host).server.die();
            }
            sleep(1_000);
            long version = 1;
            for (String host : List.of("s-write0", "s-write1")) {
                version++;
                for (Agent agent : agents) agent.change(host, "terminated", version);
            }
        }
        sleep(20_000);
        loadEnds.set(true);
        sleep(12_000);
    }

    private void loadOfClientsThatGiveUp(Gateway gateway, double perSecond) {
        SplittableRandom random = new SplittableRandom(gateway.port);
        spawn("load", () -> {
            double startMs = now();
            for (int sent = 1; !loadEnds.get(); sent++) {
                boolean unsafe = random.nextDouble() < 0.62;
                String kind = unsafe ? "quote" : "lookup";
                String session = Long.toHexString(random.nextLong());
                double tryMs = (unsafe ? 1_200 : 1_000) * (0.5 + random.nextDouble() / 2);
                spawn("client", () -> ask(gateway, kind, session, tryMs, 4_000));
                sleepUntil(startMs + sent * 1_000 / perSecond);
            }
        });
    }

    private void watchStates() {
        while (true) {
            synchronized (cluster) {
                for (Map.Entry<String, State> entry : List.copyOf(cluster.states.entrySet())) {
                    State state = entry.getValue();
                    if (state.waiting > 0 || now() - state.sinceMs <= PIN_LIMIT_MS + 50) continue;
                    breach("%s: state at %s is held for %.0f ms with no attempt out, after %d releases", entry.getKey(),
                            state.reader, now() - state.sinceMs, state.releases);
                    cluster.states.remove(entry.getKey());
                }
            }
            sleep(20);
        }
    }

    public static void main(String[] args) throws IOException {
        new WaitingWrites(args).runAndExit();
    }
}
