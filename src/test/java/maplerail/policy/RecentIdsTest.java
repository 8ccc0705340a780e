package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router.Outcome;
import maplerail.Router.Repeat;
import maplerail.Router.RequestClass;
import maplerail.Router.Role;
import maplerail.Router.Scope;
import maplerail.policy.ProtocolRules.Reason;
import org.junit.jupiter.api.Test;

class RecentIdsTest {
    private static final double KEPT_MS = 60_000;

    private final RecentIds ids = new RecentIds();

    private static RequestState request(Repeat repeat, Role role, Outcome outcome) {
        RequestClass requestClass = new RequestClass(1_000, 0, 4_000, 60, 1, 0.2, repeat, Scope.ALL, 5_000);
        ProtocolRules.Target target = new ProtocolRules.Target(role, true, 0, 0);
        return new RequestState(requestClass, true, 4_000, List.of(new PriorAttempt(target, 0, outcome)));
    }

    /** Guards against running a request twice whose id comes again. */
    @Test
    void anIdThatMayHaveRunIsDeniedForAWhile() {
        ids.add("cancelled", request(Repeat.UNSAFE, Role.WRITE, Outcome.CANCELLED), 0);
        ids.add("served", request(Repeat.KEYED, Role.WRITE, Outcome.SERVED), 1);
        assertThat(ids.check("cancelled", KEPT_MS - 1)).isEqualTo(Reason.MAY_HAVE_RUN);
        assertThat(ids.check("served", KEPT_MS)).isEqualTo(Reason.MAY_HAVE_RUN);
        assertThat(ids.check("cancelled", KEPT_MS)).isEqualTo(Reason.ALLOWED);
    }

    @Test
    void anIdThatHadNoEffectOrMayRunTwiceIsAllowed() {
        ids.add("pure", request(Repeat.PURE, Role.WRITE, Outcome.SERVED), 0);
        ids.add("read only", request(Repeat.UNSAFE, Role.READ, Outcome.READ), 0);
        ids.add("declined", request(Repeat.UNSAFE, Role.WRITE, Outcome.FULL), 0);
        assertThat(List.of("pure", "read only", "declined", "new")).allMatch(id -> ids.check(id, 1) == Reason.ALLOWED);
    }

    /** Guards against memory that grows with the number of requests. */
    @Test
    void theNumberOfIdsIsLimited() {
        for (int i = 0; i < 10_000; i++) ids.add("id" + i, request(Repeat.UNSAFE, Role.WRITE, Outcome.SERVED), 0);
        assertThat(ids.check("id0", 1)).isEqualTo(Reason.ALLOWED);
        assertThat(ids.check("id9999", 1)).isEqualTo(Reason.MAY_HAVE_RUN);
    }
}
