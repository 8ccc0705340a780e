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
 * A randomized fault soak: real gateway processes on loopback, engines behind fault proxies, clients, and up to three
 * troubles at a time, all drawn from a seed. The ledger checks the protocol's rules. The timing of the operating system
 * is not controlled: a seed repeats the same troubles, but not the same run.
 */
public final class FaultSoak {
    private static final int WARM_UP_MS = 2_000;
    private static final int QUIET_PHASE_MS = 5_000;
    private static final int SETTLE_MS = 3_000;
    private static final int MAX_CONCURRENT_TROUBLES = 3;
    private static final double MIN_QUIET_SERVED_SHARE = 0.9;

    private FaultSoak() {}

    /** Runs the seeds given on the command line, and exits with 1 if a rule was broken in any run. */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        options.addOption(null, "seed", true, "the first seed (1)");
        options.addOption(null, "runs", true, "number of consecutive seeds (1)");
        options.addOption(null, "seconds", true, "duration of the troubles in each run, in seconds (25)");
        options.addOption(null, "gateways", true, "number of gateway processes (10)");
        options.addOption(null, "trouble", true,
                "inject only these troubles, separated by commas (all but streams_spoilt)");
        options.addOption(null, "folder", true, "folder for logs and control files (target/soak)");
        CommandLine line = new DefaultParser().parse(options, args);
        long first = Long.parseLong(line.getOptionValue("seed", "1"));
        int runs = Integer.parseInt(line.getOptionValue("runs", "1"));
        int broken = 0;
        for (long seed = first; seed < first + runs; seed++) {
            broken += runSeed(seed, Integer.parseInt(line.getOptionValue("seconds", "25")),
                    Integer.parseInt(line.getOptionValue("gateways", "10")),
                    parseTroubles(line.getOptionValue("trouble")),
                    Path.of(line.getOptionValue("folder", "target/soak")).toAbsolutePath());
        }
        System.out.println(broken == 0 ? "soak passed: " + runs + " runs" : "soak FAILED: " + broken + " breaches in "
                + runs + " runs");
        System.exit(broken == 0 ? 0 : 1);
    }

    private static List<Trouble> parseTroubles(String names) {
        if (names == null) return Trouble.DEFAULTS;
        List<Trouble> chosen = new ArrayList<>();
        for (String name : names.split(",")) chosen.add(Trouble.valueOf(name.toUpperCase(Locale.ROOT)));
        return chosen;
    }

    /** Runs one seed and returns the number of breaches. */
    static int runSeed(long seed, int seconds, int gateways, List<Trouble> troubles, Path parent) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        SoakSettings settings = new SoakSettings(gateways, random.split());
        Path folder = parent.resolve("seed-" + seed);
        deleteRecursively(folder);
        Files.createDirectories(folder);
        List<String> injected = new ArrayList<>();
        try (SoakFleet fleet = new SoakFleet(settings, folder, buildShim(parent), runCommand(), random.split())) {
            fleet.clients.forEach(LoadClients::start);
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            injectTroubles(fleet, random, seconds, troubles, injected);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            fleet.clients.forEach(clients -> clients.setQuiet(true));
            TimeUnit.MILLISECONDS.sleep(QUIET_PHASE_MS);
            fleet.clients.forEach(LoadClients::stop);
            TimeUnit.MILLISECONDS.sleep((long) (1.4 * settings.deadlineMs) + 1_000);
            for (int i = 0; i < gateways; i++) {
                double share = fleet.clients.get(i).quietServedShare();
                if (share >= MIN_QUIET_SERVED_SHARE) continue;
                fleet.ledger.recordBreach(Ledger.Rule.SERVICE_AFTER_TROUBLE, null, String.format(Locale.ROOT,
                        "%s served a share of %.2f after all troubles had ended", fleet.gateways.get(i).name, share));
            }
            fleet.ledger.checkOpenStreams();
            int breaches = fleet.ledger.breachCount();
            long logged = fleet.loggedBreaches();
            String report = "seed " + seed + ": deadline " + Math.round(settings.deadlineMs) + ", pin limit "
                    + Math.round(settings.pinLimitMs) + ", first token " + settings.firstTokenMs + ", group "
                    + settings.keyScope + ", worst own thread lag "
                    + Math.round(fleet.ledger.worstLagMs()) + " ms; " + fleet.ledger.summary()
                    + (logged > 0 ? "\n  breaches logged by the gateways themselves: " + logged : "")
                    + (breaches > 0 ? "\n  troubles: " + String.join("; ", injected) : "");
            System.out.println(report);
            Files.writeString(folder.resolve("report.txt"), report + "\n" + String.join("\n", injected) + "\n");
            return breaches;
        }
    }

    private static void injectTroubles(SoakFleet fleet, SplittableRandom random, int seconds, List<Trouble> troubles,
            List<String> injected) throws Exception {
        double startMs = Ledger.nowMs();
        List<Thread> running = new ArrayList<>();
        while (Ledger.nowMs() - startMs < seconds * 1_000.0) {
            running.removeIf(thread -> !thread.isAlive());
            if (running.size() < MAX_CONCURRENT_TROUBLES) {
                Trouble next = troubles.get(random.nextInt(troubles.size()));
                SplittableRandom ownRandom = random.split();
                injected.add(String.format(Locale.ROOT, "%.1f s %s", (Ledger.nowMs() - startMs) / 1_000, next.label()));
                Thread thread = new Thread(() -> {
                    try {
                        next.inject(fleet, ownRandom);
                    } catch (Exception e) {
                        fleet.ledger.recordBreach(Ledger.Rule.CRASH, null, next + " could not be injected: " + e);
                    }
                }, next.label());
                thread.setDaemon(true);
                thread.start();
                running.add(thread);
            }
            TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(900));
        }
        for (Thread thread : running) thread.join();
    }

    private static String runCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    /** Builds the preloaded fault library with the system's C compiler. */
    private static Path buildShim(Path parent) throws IOException, InterruptedException {
        Files.createDirectories(parent);
        Path library = parent.resolve("faultshim.so");
        if (Files.exists(library)) return library;
        int status = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-o", library.toString(),
                "src/test/native/faultshim.c", "-ldl").inheritIO().start().waitFor();
        if (status != 0) throw new IOException("src/test/native/faultshim.c does not compile");
        return library;
    }

    private static void deleteRecursively(Path folder) throws IOException {
        if (!Files.exists(folder)) return;
        List<Path> all;
        try (var walk = Files.walk(folder)) {
            all = walk.sorted((a, b) -> b.compareTo(a)).toList();
        }
        for (Path path : all) Files.delete(path);
    }
}
