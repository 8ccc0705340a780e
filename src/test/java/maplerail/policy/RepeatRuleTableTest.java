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
 * Guards against sends and refusals that the rule on duplicated effects forbids: all of {@link ProtocolRules} against the
 * table in docs/rules-by-path.md, which is written from the wire page.
 */
class RepeatRuleTableTest {
    private static final double SENT_MS = 100;
    private static final double WINDOW_MS = 1_000;
    private static final double DEADLINE_MS = 9_000;
    private static final Limits COPIES_ALLOWED = new Limits(6, true, true, true, 1_000, false);
    private static final Limits ONE_AT_A_TIME = new Limits(6, true, false, true, 1_000, false);
    private static final Set<Outcome> PROOFS = EnumSet.of(Outcome.READ, Outcome.FULL, Outcome.STATE_GONE,
            Outcome.UNREACHABLE, Outcome.NOT_SENT);

    /** Where an engine stands, seen from the first attempt's. */
    private enum Place {
        SAME_CELL(1, 1), SAME_ZONE(1, 2), OTHER_ZONE(2, 3), NOT_TOLD(Member.UNKNOWN_PLACE, Member.UNKNOWN_PLACE);

        final int zone;
        final int cell;

        Place(int zone, int cell) {
            this.zone = zone;
            this.cell = cell;
        }
    }

    /** One row of the table: what came before, and how it counts. */
    private record Before(boolean atReader, Outcome end, Place place) {
        boolean out() {
            return end == null;
        }

        /** "An attempt at a reader has no effect, however it ends." */
        boolean mayHaveExecuted() {
            return !atReader && (out() || !PROOFS.contains(end));
        }

        /** "As soon as an attempt may have executed (or is still in flight)." */
        boolean binds() {
            return out() || mayHaveExecuted();
        }

        PriorAttempt attempt(double sentMs) {
            Role role = atReader ? Role.READ : Role.WRITE;
            return new PriorAttempt(new Target(role, true, place.zone, place.cell), sentMs, end);
        }
    }

    private final List<String> wrong = new ArrayList<>();
    private int checked;

    private static List<Before> rows() {
        List<Before> rows = new ArrayList<>();
        for (Place place : List.of(Place.SAME_CELL, Place.NOT_TOLD)) {
            for (boolean atReader : List.of(true, false)) {
                rows.add(new Before(atReader, null, place));
                for (Outcome end : Outcome.values()) rows.add(new Before(atReader, end, place));
            }
        }
        return rows;
    }

    private static RequestState state(Repeat repeat, Scope scope, List<PriorAttempt> attempts) {
        RequestClass requestClass = new RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, repeat, scope, WINDOW_MS);
        return new RequestState(requestClass, false, DEADLINE_MS, attempts);
    }

    private static boolean sameGroup(Scope scope, Place first, Place target) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone == target.zone && first != Place.NOT_TOLD;
            case CELL -> first.cell == target.cell && first != Place.NOT_TOLD;
        };
    }

    private static boolean sendAllowed(Repeat repeat, Scope scope, Before first, Place target, boolean inWindow) {
        if (first == null || repeat == Repeat.PURE) return true;
        return repeat == Repeat.KEYED && inWindow && sameGroup(scope, first.place(), target);
    }

    private static boolean refusalAllowed(Repeat repeat, Scope scope, List<Before> before, boolean inWindow) {
        if (repeat == Repeat.PURE || before.stream().noneMatch(Before::binds)) return true;
        if (repeat == Repeat.UNSAFE || scope != Scope.ALL) return false;
        // Of this project: after the window a client's own repeat would not be dropped.
        return inWindow || before.stream().noneMatch(Before::mayHaveExecuted);
    }

    private void expect(boolean allowed, Reason verdict, String what) {
        checked++;
        if (allowed != (verdict == Reason.ALLOWED)) wrong.add(what + ": " + verdict);
    }

    private void check(Repeat repeat, Scope scope, List<Before> before, double nowMs) {
        List<PriorAttempt> attempts = new ArrayList<>();
        for (Before one : before) attempts.add(one.attempt(SENT_MS));
        RequestState state = state(repeat, scope, attempts);
        Before first = before.stream().filter(Before::binds).findFirst().orElse(null);
        boolean inWindow = nowMs < SENT_MS + WINDOW_MS;
        String row = repeat + " " + scope + " at " + nowMs + " after " + before;
        expect(refusalAllowed(repeat, scope, before, inWindow), ProtocolRules.checkRefusal(state, 0, nowMs),
                row + " refusal");
        for (Place place : Place.values()) {
            for (Role role : Role.values()) {
                Target target = new Target(role, true, place.zone, place.cell);
                boolean allowed = sendAllowed(repeat, scope, first, place, inWindow);
                expect(allowed, ProtocolRules.checkSend(state, target, COPIES_ALLOWED, nowMs),
                        row + " " + role + " " + place);
                boolean alone = before.stream().noneMatch(Before::out);
                expect(allowed && alone, ProtocolRules.checkSend(state, target, ONE_AT_A_TIME, nowMs),
                        row + " one at a time " + role + " " + place);
            }
        }
    }

    private void checkAll(List<Before> before) {
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
        for (Before one : rows()) {
            checkAll(List.of(one));
            for (Before other : rows()) {
                // What follows an attempt that binds stands in its group; elsewhere it would be a break already.
                if (one.place() == other.place()) checkAll(List.of(one, other));
            }
        }
        assertThat(wrong).as("of %s cells", checked).isEmpty();
        assertThat(checked).isGreaterThan(100_000);
    }
}
