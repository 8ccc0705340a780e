package maplerail.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * A randomized fault soak: real gateway processes on loopback, engines behind a fault proxy, clients, and two or three
 * troubles at a time, all drawn from a seed. The ledger judges by the protocol's rules. The operating system's timing
 * is not drawn: a seed gives the same troubles again, not the same run.
 */
public final class FaultSoak {
    private static final int QUIET_MS = 2_000;
    private static final int TAIL_MS = 5_000;
    private static final int SETTLE_MS = 3_000;
    private static final int MOST_AT_ONCE = 3;
    private static final double QUIET_SERVED = 0.9;

    private FaultSoak() {}

    /** Plays the seeds that the command line names, and ends with 1 if a rule was broken in any. */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        options.addOption(null, "seed", true, "the first seed (1)");
        options.addOption(null, "runs", true, "how many seeds (1)");
        options.addOption(null, "seconds", true, "of trouble in each run (25)");
        options.addOption(null, "gateways", true, "processes (10)");
        options.addOption(null, "trouble", true, "only troubles of this name, separated by commas");
        options.addOption(null, "folder", true, "for logs and controls (target/soak)");
        CommandLine line = new DefaultParser().parse(options, args);
        long first = Long.parseLong(line.getOptionValue("seed", "1"));
        int runs = Integer.parseInt(line.getOptionValue("runs", "1"));
        int broken = 0;
        for (long seed = first; seed < first + runs; seed++) {
            broken += play(seed, Integer.parseInt(line.getOptionValue("seconds", "25")),
                    Integer.parseInt(line.getOptionValue("gateways", "10")), troubles(line.getOptionValue("trouble")),
                    Path.of(line.getOptionValue("folder", "target/soak")).toAbsolutePath());
        }
        System.out.println(broken == 0 ? "soak passed: " + runs + " runs" : "soak FAILED: " + broken + " breaches in "
                + runs + " runs");
        System.exit(broken == 0 ? 0 : 1);
    }

    private static List<Trouble> troubles(String names) {
        if (names == null) return List.of(Trouble.values());
        List<Trouble> chosen = new ArrayList<>();
        for (String name : names.split(",")) chosen.add(Trouble.valueOf(name.toUpperCase(Locale.ROOT)));
        return chosen;
    }

    /** Plays one seed and returns how often a rule was broken. */
    static int play(long seed, int seconds, int gateways, List<Trouble> troubles, Path parent) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SoakSettings settings = new SoakSettings(gateways, random.split());
        Path folder = parent.resolve("seed-" + seed);
        delete(folder);
        Files.createDirectories(folder);
        List<String> told = new ArrayList<>();
        try (SoakFleet fleet = new SoakFleet(settings, folder, shim(parent), command(), random.split())) {
            fleet.clients.forEach(LoadClients::start);
            TimeUnit.MILLISECONDS.sleep(QUIET_MS);
            trouble(fleet, random, seconds, troubles, told);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            fleet.clients.forEach(clients -> clients.quiet(true));
            TimeUnit.MILLISECONDS.sleep(TAIL_MS);
            fleet.clients.forEach(LoadClients::stop);
            TimeUnit.MILLISECONDS.sleep((long) (1.4 * settings.deadlineMs) + 1_000);
            for (int i = 0; i < gateways; i++) {
                double share = fleet.clients.get(i).quietServedShare();
                if (share >= QUIET_SERVED) continue;
                fleet.ledger.breach(Ledger.Rule.SERVICE_AFTER_TROUBLE, null, String.format(Locale.ROOT,
                        "%s served %.2f after all trouble had ended", fleet.gateways.get(i).name, share));
            }
            int breaches = fleet.ledger.breaches();
            long own = fleet.ownBreaches();
            String report = "seed " + seed + ": deadline " + Math.round(settings.deadlineMs) + ", pin limit "
                    + Math.round(settings.pinLimitMs) + ", first token " + settings.firstTokenMs + ", group "
                    + settings.keyScope + ", worst own lag "
                    + Math.round(fleet.ledger.worstLagMs()) + " ms; " + fleet.ledger.summary()
                    + (own > 0 ? "\n  gateways' own checks: " + own : "")
                    + (breaches > 0 ? "\n  troubles: " + String.join("; ", told) : "");
            System.out.println(report);
            Files.writeString(folder.resolve("report.txt"), report + "\n" + String.join("\n", told) + "\n");
            return breaches;
        }
    }

    private static void trouble(SoakFleet fleet, SplittableRandom random, int seconds, List<Trouble> troubles,
            List<String> told) throws Exception {
        double startMs = Ledger.nowMs();
        List<Thread> playing = new ArrayList<>();
        while (Ledger.nowMs() - startMs < seconds * 1_000.0) {
            playing.removeIf(thread -> !thread.isAlive());
            if (playing.size() < MOST_AT_ONCE) {
                Trouble next = troubles.get(random.nextInt(troubles.size()));
                SplittableRandom own = random.split();
                told.add(String.format(Locale.ROOT, "%.1f s %s", (Ledger.nowMs() - startMs) / 1_000, next.label()));
                Thread thread = new Thread(() -> {
                    try {
                        next.play(fleet, own);
                    } catch (Exception e) {
                        fleet.ledger.breach(Ledger.Rule.CRASH, null, next + " could not be played: " + e);
                    }
                }, next.label());
                thread.setDaemon(true);
                thread.start();
                playing.add(thread);
            }
            TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(900));
        }
        for (Thread thread : playing) thread.join();
    }

    private static String command() throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    /** Builds the shim with the machine's C compiler. */
    private static Path shim(Path parent) throws IOException, InterruptedException {
        Files.createDirectories(parent);
        Path library = parent.resolve("faultshim.so");
        if (Files.exists(library)) return library;
        int status = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-o", library.toString(),
                "src/test/native/faultshim.c", "-ldl").inheritIO().start().waitFor();
        if (status != 0) throw new IOException("the shim does not compile");
        return library;
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) return;
        List<Path> all;
        try (var walk = Files.walk(folder)) {
            all = walk.sorted((a, b) -> b.compareTo(a)).toList();
        }
        for (Path path : all) Files.delete(path);
    }
}
