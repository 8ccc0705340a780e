package maplerail.core;

import java.util.List;

/**
 * Limits on what callers may request.
 *
 * @param maxOpen maximum number of open requests over all teams
 * @param contracts one for each request class, by the class's index
 * @param teams budget of each team, by the team's index
 */
public record Budgets(int maxOpen, List<Contract> contracts, List<Budget> teams) {
    /** Limits only the number of open requests. */
    public static Budgets withoutQuotas(int maxOpen) {
        return new Budgets(maxOpen, List.of(), List.of());
    }

    /** Maximum payload size of a request class, in bytes. */
    public record Contract(int maxBytes) {}

    /** Maximum call rate and maximum number of concurrent calls of a team. */
    public record Budget(double callsPerSecond, int maxInFlight) {}
}
