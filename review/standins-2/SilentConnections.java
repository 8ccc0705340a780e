import java.io.IOException;
import java.util.List;

/** The watch of a gateway falls silent, with the other connections that the gateway has open to its agent. */
final class SilentConnections extends SmallFleet {
    private static final double TOLD_AFTER_MS = 6_000;

    private SilentConnections(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(1);
        Gateway gateway = gateways.get(0);
        Agent agent = agents.get(0);
        startGateways(booking());
        load(gateway, 22, 800);
        sleep(4_000);
        Engine drained = cluster.engines.get("s-read1");
        if (arrivalsBetween(drained, 0, now()) == 0) throw new Unusable("the engine got no work before it drains");
        int calls = agent.calls;
        while (agent.calls == calls) sleep(1);
        sleep(50);
        double silentMs = now();
        if (trouble) {
            List<Connection> open;
            synchronized (agent.server.connections) {
                open = List.copyOf(agent.server.connections);
            }
            open.forEach(connection -> connection.silent = true);
            note("%d connections to the agent fall silent; new ones work", open.size());
        }
        sleep(100);
        agent.change("s-read1", "terminating", 2);
        agent.change("s-write3", "terminating", 3);
        double changedMs = now();
        sleepUntil(silentMs + TOLD_AFTER_MS + 4_000);
        loadEnds.set(true);
        checkDrain(drained, changedMs + TOLD_AFTER_MS, Double.POSITIVE_INFINITY);
        checkDrain(cluster.engines.get("s-write3"), changedMs + TOLD_AFTER_MS, Double.POSITIVE_INFINITY);
    }

    public static void main(String[] args) throws IOException {
        new SilentConnections(args).runAndExit();
    }
}
