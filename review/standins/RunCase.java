import java.nio.file.Path;

/** Runs a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class RunCase {
    private static final int MAX_RUN_MS = 110_000;

    interface Case {
        /** Returns true if the rule was broken. */
        boolean run(Rig rig) throws Exception;
    }

    public static void main(String[] args) {
        Rig.start("time limit", () -> {
            Rig.sleep(MAX_RUN_MS);
            System.out.println("could not run: too slow");
            System.exit(2);
        });
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            boolean broken = ((Case) Class.forName(args[0]).getDeclaredConstructor().newInstance()).run(rig);
            rig.note(broken ? "the rule was broken" : "the rule held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(status);
    }
}
