package maplerail.policy;

/**
 * Which list of engines a process that has just started may route by, and when it is ready. Where lists are pushed, what
 * its agent has counts as told from the first moment, so a list from an earlier run may lack engines that drain by now.
 */
public final class StartRules {
    /**
     * Longest time from the start until a process is ready, with or without a list: most restarts have to be ready
     * within 10 s, of which this leaves 2 s for the virtual machine.
     */
    public static final double MAX_UNREADY_MS = 8_000;

    private StartRules() {}

    /**
     * Whether a list from an earlier run may be used before discovery has answered.
     *
     * @param pushed whether discovery pushes lists; otherwise a change counts as told only some seconds later
     */
    public static boolean mayUseRememberedList(boolean pushed) {
        return !pushed;
    }
}
