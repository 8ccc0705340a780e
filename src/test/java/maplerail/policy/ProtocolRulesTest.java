package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router.Limits;
import maplerail.Router.Outcome;
import maplerail.Router.Repeat;
import maplerail.Router.RequestClass;
import maplerail.Router.Role;
import maplerail.Router.Scope;
import maplerail.policy.ProtocolRules.Reason;
import maplerail.policy.ProtocolRules.Target;
import org.junit.jupiter.api.Test;

class ProtocolRulesTest {
    private static final Limits LIMITS = new Limits(3, true, false, true, 1_000, false);
    private static final Target WRITER = new Target(Role.WRITE, true, 1, 1);
    private static final Target READER = new Target(Role.READ, true, 1, 1);
    private static final double DEADLINE_MS = 5_000;
    private static final double WINDOW_MS = 1_000;

    /** A request with that many attempts: one that may have run, if any, reads in flight, and others never sent. */
    private static RequestState state(Repeat repeat, Scope scope, int attempts, int readsInFlight, PriorAttempt first) {
        RequestClass requestClass = new RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, repeat, scope, WINDOW_MS);
        List<PriorAttempt> priorAttempts = new ArrayList<>();
        if (first != null) priorAttempts.add(first);
        for (int i = 0; i < readsInFlight; i++) priorAttempts.add(new PriorAttempt(READER, 100, null));
        while (priorAttempts.size() < attempts) priorAttempts.add(new PriorAttempt(WRITER, 100, Outcome.NOT_SENT));
        return new RequestState(requestClass, false, DEADLINE_MS, priorAttempts);
    }

    private static PriorAttempt resetWrite(double sentMs, int zone, int cell) {
        return new PriorAttempt(new Target(Role.WRITE, true, zone, cell), sentMs, Outcome.RESET);
    }

    private static Reason checkSend(RequestState state, Target target, double nowMs) {
        return ProtocolRules.checkSend(state, target, LIMITS, nowMs);
    }

    @Test
    void aFirstAttemptIsAllowedUntilTheDeadlineAtAnEngineInService() {
        RequestState fresh = state(Repeat.UNSAFE, Scope.ALL, 0, 0, null);
        assertThat(checkSend(fresh, WRITER, 4_999)).isEqualTo(Reason.ALLOWED);
        assertThat(checkSend(fresh, WRITER, 5_000)).isEqualTo(Reason.DEADLINE_PASSED);
        assertThat(checkSend(fresh, new Target(Role.WRITE, false, 1, 1), 0)).isEqualTo(Reason.ENGINE_NOT_IN_SERVICE);
        RequestState answered = new RequestState(fresh.requestClass(), true, DEADLINE_MS, List.of());
        assertThat(checkSend(answered, WRITER, 0)).isEqualTo(Reason.REQUEST_OVER);
    }

    @Test
    void attemptsAreLimitedInNumberAndNotInFlightTogether() {
        assertThat(checkSend(state(Repeat.PURE, Scope.ALL, 3, 0, null), WRITER, 0)).isEqualTo(Reason.ATTEMPTS_SPENT);
        assertThat(checkSend(state(Repeat.PURE, Scope.ALL, 1, 1, null), WRITER, 0)).isEqualTo(Reason.ATTEMPT_OUT);
        Limits copiesAllowed = new Limits(3, true, true, true, 1_000, false);
        assertThat(ProtocolRules.checkAttempt(state(Repeat.PURE, Scope.ALL, 1, 1, null), copiesAllowed))
                .isEqualTo(Reason.ALLOWED);
    }

    @Test
    void anAttemptThatMayHaveRunIsRepeatedOnlyWhereItsClassAllowsIt() {
        PriorAttempt first = resetWrite(100, 1, 2);
        assertThat(checkSend(state(Repeat.PURE, Scope.ALL, 1, 0, first), WRITER, 200)).isEqualTo(Reason.ALLOWED);
        assertThat(checkSend(state(Repeat.UNSAFE, Scope.ALL, 1, 0, first), WRITER, 200)).isEqualTo(Reason.MAY_HAVE_RUN);
        assertThat(checkSend(state(Repeat.UNSAFE, Scope.ALL, 1, 0, first), READER, 200)).isEqualTo(Reason.MAY_HAVE_RUN);
        assertThat(checkSend(state(Repeat.KEYED, Scope.ALL, 1, 0, first), WRITER, 1_099)).isEqualTo(Reason.ALLOWED);
        assertThat(checkSend(state(Repeat.KEYED, Scope.ALL, 1, 0, first), WRITER, 1_100))
                .isEqualTo(Reason.REPEAT_WINDOW_OVER);
        assertThat(checkSend(state(Repeat.KEYED, Scope.ZONE, 1, 0, first), WRITER, 200)).isEqualTo(Reason.ALLOWED);
        assertThat(checkSend(state(Repeat.KEYED, Scope.CELL, 1, 0, first), WRITER, 200))
                .isEqualTo(Reason.OUTSIDE_REPEAT_SCOPE);
    }

    @Test
    void aRefusalIsAllowedOnlyIfARepeatIsHarmless() {
        PriorAttempt first = resetWrite(100, 1, 2);
        assertThat(checkRefusal(Repeat.PURE, Scope.ALL, 1, first)).isEqualTo(Reason.ALLOWED);
        assertThat(checkRefusal(Repeat.UNSAFE, Scope.ALL, 0, null)).isEqualTo(Reason.ALLOWED);
        assertThat(checkRefusal(Repeat.UNSAFE, Scope.ALL, 1, null)).isEqualTo(Reason.ATTEMPT_OUT);
        assertThat(checkRefusal(Repeat.UNSAFE, Scope.ALL, 0, first)).isEqualTo(Reason.MAY_HAVE_RUN);
        assertThat(checkRefusal(Repeat.KEYED, Scope.ALL, 0, first)).isEqualTo(Reason.ALLOWED);
        assertThat(checkRefusal(Repeat.KEYED, Scope.ZONE, 0, first)).isEqualTo(Reason.OUTSIDE_REPEAT_SCOPE);
        assertThat(ProtocolRules.checkRefusal(state(Repeat.KEYED, Scope.ALL, 1, 0, first), 10, 1_090))
                .isEqualTo(Reason.REPEAT_WINDOW_OVER);
    }

    private static Reason checkRefusal(Repeat repeat, Scope scope, int readsInFlight, PriorAttempt first) {
        return ProtocolRules.checkRefusal(state(repeat, scope, 1, readsInFlight, first), 0, 200);
    }

    @Test
    void onlyAnIdleConnectionThatItsClientNoLongerReliesOnIsClosed() {
        assertThat(ProtocolRules.checkClose(true, 9_000, 2_000)).isEqualTo(Reason.CONNECTION_IN_USE);
        assertThat(ProtocolRules.checkClose(false, 1_999, 2_000)).isEqualTo(Reason.CONNECTION_FRESH);
        assertThat(ProtocolRules.checkClose(false, 2_000, 2_000)).isEqualTo(Reason.ALLOWED);
        assertThat(ProtocolRules.checkAccept(true)).isEqualTo(Reason.SHUTTING_DOWN);
        assertThat(ProtocolRules.checkAccept(false)).isEqualTo(Reason.ALLOWED);
    }
}
