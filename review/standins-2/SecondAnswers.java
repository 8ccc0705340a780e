import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Behind some streams the same answer comes a second time, a little late. */
final class SecondAnswers extends SmallFleet {
    /** In how many streams an answer comes twice. */
    private static final double SHARE = 0.2;
    /** A writer may pause between the two answers for so long: pause_ms of the site file. */
    private static final double PAUSE_MS = 60;
    private static final Pattern OWNER = Pattern.compile("of ([0-9a-f]{16}) ");

    private SecondAnswers(String[] args) throws IOException {
        super(args);
    }

    @Override
    void play() throws Exception {
        build(2);
        for (Engine engine : cluster.engines.values()) {
            engine.tokens = 10;
            engine.moreTokens = 20;
            engine.tokenMs = 50;
            engine.firstTokenMs = 50;
            if (!engine.reader && trouble) {
                engine.secondShare = SHARE;
                engine.pauseMs = PAUSE_MS;
            }
        }
        startGateways(booking());
        for (Gateway gateway : gateways) loadAtRandom(gateway, 11, 800);
        sleep(80_000);
        loadEnds.set(true);
        sleep(4_000);
    }

    @Override
    void received(String id, String stream) {
        Matcher owners = OWNER.matcher(stream);
        while (owners.find()) {
            if (owners.group(1).equals(id)) continue;
            breach("the client of %s was served the stream of %s", id, owners.group(1));
            return;
        }
    }

    public static void main(String[] args) throws IOException {
        new SecondAnswers(args).runAndExit();
    }
}
