package maplerail.cli;

import java.util.concurrent.TimeUnit;

/** Runs a gateway one of whose threads dies. */
public final class DyingThreadProgram {
    private static final long POLL_MS = 5;
    private static final long MAX_DEATH_MS = 1_000; // a further error must not disturb the handler of the first

    private DyingThreadProgram() {}

    /** Starts a gateway, waits for a file and then ends the thread of that name; its own if there is none. */
    public static void main(String[] args) throws Exception {
        Main.main(new String[] {"serve"});
        java.io.File signal = new java.io.File(args[0]);
        while (!signal.exists()) TimeUnit.MILLISECONDS.sleep(POLL_MS);
        Thread victim = Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().equals(args[1]))
                .findFirst()
                .orElse(null);
        if (victim == null) throw new IllegalStateException("a thread that serves nobody dies");
        // An error that lands in a listener is caught by the event library, and the thread lives on.
        while (victim.isAlive()) {
            stop(victim);
            victim.join(MAX_DEATH_MS);
        }
    }

    @SuppressWarnings({"removal", "deprecation"})
    private static void stop(Thread thread) {
        thread.stop();
    }
}
