package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import maplerail.Router.Limits;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.Repeat;
import maplerail.Router.RequestClass;
import maplerail.Router.Role;
import maplerail.Router.Scope;
import maplerail.policy.ProtocolRules.Reason;
import maplerail.policy.ProtocolRules.Target;
import org.junit.jupiter.api.Test;

/**
 * Guards against sends and refusals that the rule on duplicated effects forbids: compares {@link ProtocolRules} with the
 * table in docs/rules-by-path.md, which is derived from the wire page.
 */
class RepeatRuleTableTest {
    private static final double SENT_MS = 100;
    private static final double WINDOW_MS = 1_000;
    private static final double DEADLINE_MS = 9_000;
    private static final Limits COPIES_ALLOWED = new Limits(6, true, true, true, 1_000, false);
    private static final Limits ONE_AT_A_TIME = new Limits(6, true, false, true, 1_000, false);
    private static final Set<Outcome> PROVE_NO_EFFECT = EnumSet.of(Outcome.READ, Outcome.FULL, Outcome.STATE_GONE,
            Outcome.UNREACHABLE, Outcome.NOT_SENT);

    /** Location of an engine relative to that of the first attempt. */
    private enum Location {
        SAME_CELL(1, 1), SAME_ZONE(1, 2), OTHER_ZONE(2, 3), UNKNOWN(Member.UNKNOWN_PLACE, Member.UNKNOWN_PLACE);

        final int zone;
        final int cell;

        Location(int zone, int cell) {
            this.zone = zone;
            this.cell = cell;
        }
    }

    /** One row of the table: an earlier attempt, and how it counts. */
    private record PriorRow(boolean atReader, Outcome outcome, Location location) {
        boolean inFlight() {
            return outcome == null;
        }

        /** "An attempt at a reader has no effect, however it ends." */
        boolean mayHaveExecuted() {
            return !atReader && (inFlight() || !PROVE_NO_EFFECT.contains(outcome));
        }

        /** "As soon as an attempt may have executed (or is still in flight)." */
        boolean binds() {
            return inFlight() || mayHaveExecuted();
        }

        PriorAttempt attempt(double sentMs) {
            Role role = atReader ? Role.READ : Role.WRITE;
            return new PriorAttempt(new Target(role, true, location.zone, location.cell), sentMs, outcome);
        }
    }

    private final List<String> mismatches = new ArrayList<>();
    private int cellsChecked;

    private static List<PriorRow> rows() {
        List<PriorRow> rows = new ArrayList<>();
        for (Location location : List.of(Location.SAME_CELL, Location.UNKNOWN)) {
            for (boolean atReader : List.of(true, false)) {
                rows.add(new PriorRow(atReader, null, location));
                for (Outcome outcome : Outcome.values()) rows.add(new PriorRow(atReader, outcome, location));
            }
        }
        return rows;
    }

    private static RequestState state(Repeat repeat, Scope scope, List<PriorAttempt> attempts) {
        RequestClass requestClass = new RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, repeat, scope, WINDOW_MS);
        return new RequestState(requestClass, false, DEADLINE_MS, attempts);
    }

    private static boolean sameGroup(Scope scope, Location first, Location target) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone == target.zone && first != Location.UNKNOWN;
            case CELL -> first.cell == target.cell && first != Location.UNKNOWN;
        };
    }

    private static boolean sendAllowed(Repeat repeat, Scope scope, PriorRow first, Location target, boolean inWindow) {
        if (first == null || repeat == Repeat.PURE) return true;
        return repeat == Repeat.KEYED && inWindow && sameGroup(scope, first.location(), target);
    }

    private static boolean refusalAllowed(Repeat repeat, Scope scope, List<PriorRow> before, boolean inWindow) {
        if (repeat == Repeat.PURE || before.stream().noneMatch(PriorRow::binds)) return true;
        if (repeat == Repeat.UNSAFE || scope != Scope.ALL) return false;
        // A rule of this project: after the window, a client's own repeat would not be dropped.
        return inWindow || before.stream().noneMatch(PriorRow::mayHaveExecuted);
    }

    private void expect(boolean allowed, Reason verdict, String what) {
        cellsChecked++;
        if (allowed != (verdict == Reason.ALLOWED)) mismatches.add(what + ": " + verdict);
    }

    private void check(Repeat repeat, Scope scope, List<PriorRow> before, double nowMs) {
        List<PriorAttempt> attempts = new ArrayList<>();
        for (PriorRow row : before) attempts.add(row.attempt(SENT_MS));
        RequestState state = state(repeat, scope, attempts);
        PriorRow first = before.stream().filter(PriorRow::binds).findFirst().orElse(null);
        boolean inWindow = nowMs < SENT_MS + WINDOW_MS;
        String row = repeat + " " + scope + " at " + nowMs + " after " + before;
        expect(refusalAllowed(repeat, scope, before, inWindow), ProtocolRules.checkRefusal(state, 0, nowMs),
                row + " refusal");
        for (Location location : Location.values()) {
            for (Role role : Role.values()) {
                Target target = new Target(role, true, location.zone, location.cell);
                boolean allowed = sendAllowed(repeat, scope, first, location, inWindow);
                expect(allowed, ProtocolRules.checkSend(state, target, COPIES_ALLOWED, nowMs),
                        row + " " + role + " " + location);
                boolean noneInFlight = before.stream().noneMatch(PriorRow::inFlight);
                expect(allowed && noneInFlight, ProtocolRules.checkSend(state, target, ONE_AT_A_TIME, nowMs),
                        row + " one at a time " + role + " " + location);
            }
        }
    }

    private void checkAll(List<PriorRow> before) {
        for (Repeat repeat : Repeat.values()) {
            for (Scope scope : Scope.values()) {
                for (double nowMs : List.of(SENT_MS, SENT_MS + WINDOW_MS - 1, SENT_MS + WINDOW_MS, DEADLINE_MS - 1)) {
                    check(repeat, scope, before, nowMs);
                }
            }
        }
    }

    @Test
    void everyRowOfTheTableHolds() {
        checkAll(List.of());
        for (PriorRow row : rows()) {
            checkAll(List.of(row));
            for (PriorRow other : rows()) {
                // An attempt that follows a binding one is in its group; elsewhere it would already break the rule.
                if (row.location() == other.location()) checkAll(List.of(row, other));
            }
        }
        assertThat(mismatches).as("of %s cells", cellsChecked).isEmpty();
        assertThat(cellsChecked).isGreaterThan(100_000);
    }
}
