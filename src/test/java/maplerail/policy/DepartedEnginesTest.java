package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Members;
import maplerail.Router.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an older list of another agent that puts an engine back into service which was told to drain. */
class DepartedEnginesTest {
    private static final long ENGINE = 1;
    private static final long OTHER = 2;
    private static final double STARTED_MS = 1_000;

    private final DepartedEngines departed = new DepartedEngines();

    private static Member member(long engine, State state, double startedMs) {
        return new Member(engine, state, startedMs, 0, 0, 1, 0);
    }

    private State apply(ListKind kind, long version, double nowMs, Member... members) {
        Members applied = departed.apply(new Members(kind, version, List.of(members)), nowMs);
        assertThat(applied.version()).isEqualTo(version);
        assertThat(applied.kind()).isEqualTo(kind);
        return applied.members().stream().filter(member -> member.engine() == ENGINE).map(Member::state).findFirst()
                .orElse(null);
    }

    private static Member ready(double startedMs) {
        return member(ENGINE, State.READY, startedMs);
    }

    /** What becomes of an engine that left in version 5, in a later list that has it in service. */
    @ParameterizedTest
    @CsvSource({"DRAINING, WHOLE, 4, 1000, 4000, DRAINING", "DRAINING, WHOLE, 1, 1000, 59000, DRAINING",
            "GONE, WHOLE, 4, 1000, 4000, DRAINING", "DRAINING, CHANGES, 4, 1000, 4000, DRAINING",
            "DRAINING, WHOLE, 4, 0, 4000, DRAINING", "DRAINING, WHOLE, 5, 1000, 4000, READY",
            "DRAINING, CHANGES, 6, 1000, 4000, READY", "DRAINING, WHOLE, 4, 1001, 4000, READY",
            "GONE, WHOLE, 1, 2000, 4000, READY", "DRAINING, WHOLE, 4, 1000, 61001, READY"})
    void anOlderListDoesNotPutAnEngineBackIntoServiceUnlessItHasStartedAgain(State left, ListKind kind, long version,
            double startedMs, double afterMs, State expected) {
        apply(ListKind.WHOLE, 4, 0, ready(STARTED_MS), member(OTHER, State.READY, 0));
        apply(ListKind.CHANGES, 5, 0, member(ENGINE, left, left == State.GONE ? 0 : STARTED_MS));
        assertThat(apply(kind, version, afterMs, ready(startedMs))).isEqualTo(expected);
    }

    @Test
    void anEngineThatANewerWholeListLacksIsNotTakenBackByAnOlderOne() {
        apply(ListKind.REMEMBERED, 4, 0, ready(STARTED_MS), member(OTHER, State.READY, 0));
        apply(ListKind.WHOLE, 5, 0, member(OTHER, State.READY, 0));
        assertThat(apply(ListKind.WHOLE, 4, 1_000, ready(STARTED_MS))).isEqualTo(State.DRAINING);
    }

    @Test
    void anEngineThatAnOlderListLacksIsTakenBackByTheNextOne() {
        apply(ListKind.WHOLE, 5, 0, ready(STARTED_MS), member(OTHER, State.READY, 0));
        apply(ListKind.WHOLE, 3, 0, member(OTHER, State.READY, 0));
        assertThat(apply(ListKind.CHANGES, 4, 1_000, ready(STARTED_MS))).isEqualTo(State.READY);
    }

    @Test
    void anEngineOnceTakenBackLeavesAndReturnsLikeAnyOther() {
        apply(ListKind.WHOLE, 4, 0, ready(STARTED_MS));
        apply(ListKind.CHANGES, 5, 0, member(ENGINE, State.DRAINING, STARTED_MS));
        assertThat(apply(ListKind.CHANGES, 6, 1_000, ready(2_000))).isEqualTo(State.READY);
        assertThat(apply(ListKind.WHOLE, 4, 2_000, ready(2_000))).isEqualTo(State.READY);
        apply(ListKind.CHANGES, 7, 3_000, member(ENGINE, State.GONE, 0));
        assertThat(apply(ListKind.WHOLE, 6, 4_000, ready(2_000))).isEqualTo(State.DRAINING);
        assertThat(apply(ListKind.WHOLE, 6, 4_000, ready(3_000))).isEqualTo(State.READY);
    }

    @Test
    void aFailedListIsPassedOnAsItIs() {
        Members failed = new Members(ListKind.FAILED, 0, List.of());
        assertThat(departed.apply(failed, 0)).isSameAs(failed);
    }
}
