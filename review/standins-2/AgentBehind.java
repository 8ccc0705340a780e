import java.io.IOException;

/**
 * A gateway has been told that an engine drains. A new configuration then names another agent, which has that change
 * some seconds later.
 */
final class AgentBehind extends SmallFleet {
    /** How much later the second agent is sent the change. Lists lag by 0.54 to 4.8 s at the site. */
    private static final double BEHIND_MS = 4_200;

    private AgentBehind(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(1);
        Agent second = newAgent("second");
        Gateway gateway = gateways.get(0);
        startGateways(booking());
        load(gateway, 22, 800);
        sleep(3_000);
        Engine drained = cluster.engines.get("s-read1");
        if (arrivalsBetween(drained, 0, now()) == 0) throw new Unusable("the engine got no work before it drains");
        Agent first = agents.get(0);
        first.change("s-read1", "terminating", 2);
        double toldMs = now();
        spawn("second", () -> {
            sleepUntil(toldMs + BEHIND_MS);
            second.change("s-read1", "terminating", 2);
        });
        sleepUntil(toldMs + 300);
        if (trouble) {
            gateway.configure(second.server.address(), first.list(-1), booking());
            gateway.signal("HUP");
            first.server.listener.close();
            spawn("first", () -> {
                sleep(1_500);
                first.server.die();
            });
        }
        sleepUntil(toldMs + BEHIND_MS + 3_000);
        loadEnds.set(true);
        checkDrain(drained, toldMs, Double.POSITIVE_INFINITY);
    }

    public static void main(String[] args) throws IOException {
        new AgentBehind(args).runAndExit();
    }
}
