package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import maplerail.Router;
import maplerail.Router.Ended;
import maplerail.Router.Outcome;
import maplerail.Router.Refuse;
import org.junit.jupiter.api.Test;

/** Tests the life cycle of requests, their one final answer, and the limits on admission. */
class BrokerTest extends ScriptedBroker {
    @Test
    void aRequestIsReadWrittenAndAnsweredOnce() {
        submit("a", send(READER));
        nextActions.add(send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.READ, 7);
        sentAttempts.get(1).listener.event(new byte[1]);
        sentAttempts.get(1).listener.event(new byte[1]);
        nextActions.add(new Refuse(1, 0));
        sentAttempts.get(1).listener.ended(Outcome.SERVED, 0);
        loop.runUntil(20_000);
        assertThat(callerEvents).containsExactly("event", "event", "end");
        assertThat(deliveredEvents).filteredOn(e -> e instanceof Router.FirstToken).hasSize(1);
        assertThat(((Ended) deliveredEvents.get(1)).cachedTokens()).isEqualTo(7);
        assertThat(((Ended) deliveredEvents.get(deliveredEvents.size() - 1)).requestClosed()).isTrue();
        assertThat(releases).isEmpty();
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void aCompleteAnswerWithoutEventsIsServedAtOnce() {
        submit("a", send(WRITER));
        sentAttempts.get(0).listener.ended(Outcome.SERVED, 0);
        assertThat(callerEvents).containsExactly("end");
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void aModuleFailureLosesOneEventButNoFinalAnswer() {
        moduleFails = true;
        submit("a");
        moduleFails = false;
        submit("b", new Refuse(2, 0));
        assertThat(callerEvents).containsExactly("refuse OVERLOAD 0");
        loop.runUntil(6_004);
        assertThat(callerEvents).containsExactly("refuse OVERLOAD 0", "fail DEADLINE");
    }

    @Test
    void aSlowCallerPausesTheEngineUntilItIsWritable() {
        RequestHandle handle = submit("a", send(WRITER));
        callerWritable = false;
        sentAttempts.get(0).listener.event(new byte[1]);
        assertThat(sentAttempts.get(0).paused).isTrue();
        handle.writable();
        assertThat(sentAttempts.get(0).paused).isFalse();
    }

    @Test
    void aRequestFailsAtItsDeadlineAndTheModuleIsNotified() {
        submit("a", send(WRITER));
        loop.runUntil(6_004);
        assertThat(callerEvents).containsExactly("fail DEADLINE");
        assertThat(outcomes()).containsExactly(Outcome.TIMEOUT);
        assertThat(deliveredEvents).anyMatch(e -> e instanceof Router.Abandoned);
        assertThat(broker.retainedRequests()).isZero();
    }

    @Test
    void theDeadlineNoLongerAppliesAfterTheFirstEvent() {
        submit("a", send(WRITER));
        for (int second = 2; second <= 60; second += 2) {
            sentAttempts.get(0).listener.event(new byte[1]);
            loop.runUntil(second * 1_000);
        }
        assertThat(sentAttempts.get(0).aborted).isFalse();
        sentAttempts.get(0).listener.ended(Outcome.RESET, 0);
        assertThat(callerEvents).startsWith("event").endsWith("broken");
    }

    /** Guards against a client that waits forever because an engine falls silent without closing its connection. */
    @Test
    void aStalledStreamIsAbortedButNotWhileItsCallerIsSlow() {
        RequestHandle handle = submit("a", send(WRITER));
        callerWritable = false;
        sentAttempts.get(0).listener.event(new byte[1]);
        loop.runUntil(30_000);
        assertThat(callerEvents).containsExactly("event");
        handle.writable();
        loop.runUntil(34_300);
        assertThat(callerEvents).as("a healthy engine may pause").containsExactly("event");
        loop.runUntil(34_900);
        assertThat(callerEvents).containsExactly("event", "broken");
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(Outcome.RESET);
        assertThat(broker.retainedRequests()).isZero();
    }

    /** Guards against overload after a start, when requests may arrive faster than half a core can accept them. */
    @Test
    void aLaggingLoopRefusesRequestsUntilItHasCaughtUp() {
        submit("a", send(WRITER));
        loop.now += 1_000;
        loop.runUntil(loop.now);
        submit("b");
        assertThat(callerEvents).containsExactly("refuse OVERLOAD 500");
        loop.runUntil(loop.now + 50);
        submit("c", send(WRITER));
        assertThat(callerEvents).containsExactly("refuse OVERLOAD 500");
        assertThat(sentAttempts).hasSize(2);
    }

    @Test
    void openRequestsAreLimitedAndDuplicateIdsAreRejected() {
        for (String id : List.of("a", "a", "b", "c", "d")) submit(id);
        assertThat(callerEvents).containsExactly("fail DUPLICATE", "refuse OVERLOAD 100");
        performActions(new Refuse(1, 250));
        submit("a");
        assertThat(callerEvents).endsWith("refuse OVERLOAD 250");
        assertThat(broker.unansweredRequests()).isEqualTo(3);
    }

    @Test
    void aTeamsCallBudgetRefillsOverTime() {
        Quotas quotas = new Quotas(new Budgets(9, List.of(), List.of(new Budgets.Budget(2, 9))), loop, line -> {});
        ServiceRequest request = new ServiceRequest("a", 0, 0, 0, 0, 0, 0, 1, 0, 0, false, 0, null);
        assertThat(quotas.admit(request)).isNull();
        assertThat(quotas.admit(request)).isNull();
        assertThat(quotas.admit(request)).isEqualTo(new Quotas.Denial(Caller.Why.BUDGET, 500));
        loop.runUntil(1_500);
        assertThat(quotas.admit(request)).isNull();
    }
}
