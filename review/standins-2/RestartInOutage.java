import java.io.IOException;

/**
 * A gateway is killed; while it is down its agent is sent that engines drain, then discovery goes down. The gateway
 * starts again with the list that it last had.
 */
final class RestartInOutage extends SmallFleet {
    private static final double OUTAGE_MS = 8_000;

    private RestartInOutage(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(2);
        Gateway gateway = gateways.get(0);
        Agent agent = agents.get(0);
        String settings = booking();
        startGateways(settings);
        String known = agent.list(-1);
        load(gateways.get(1), 8, 800);
        sleep(2_000);
        note("gateway %s is killed", gateway.name);
        gateway.kill();
        sleep(200);
        agent.change("s-read1", "terminating", 2);
        agent.change("s-write3", "terminating", 3);
        agents.get(1).change("s-read1", "terminating", 2);
        agents.get(1).change("s-write3", "terminating", 3);
        sleep(300);
        double downMs = now();
        if (trouble) {
            agent.setSilent(true);
            agents.get(1).setSilent(true);
            spawn("discovery", () -> {
                sleepUntil(downMs + OUTAGE_MS);
                agent.setSilent(false);
                agents.get(1).setSilent(false);
            });
        }
        sleep(500);
        gateway.configure(agent.server.address(), known, settings);
        gateway.start(agent.server.address());
        double toldMs = gateway.startedMs;
        gateway.awaitReady();
        load(gateway, 15, 800);
        sleepUntil(downMs + OUTAGE_MS + 4_000);
        loadEnds.set(true);
        checkDrain(cluster.engines.get("s-read1"), toldMs, Double.POSITIVE_INFINITY);
        checkDrain(cluster.engines.get("s-write3"), toldMs, Double.POSITIVE_INFINITY);
    }

    public static void main(String[] args) throws IOException {
        new RestartInOutage(args).runAndExit();
    }
}
