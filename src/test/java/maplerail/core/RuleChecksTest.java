package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.core.RuleMonitor.Breach;
import maplerail.policy.ProtocolRules.Reason;
import org.junit.jupiter.api.Test;

/** What the core does where a module orders something that the rules forbid, or a client leaves in the last moment. */
class RuleChecksTest {
    private static final long READER = 1;
    private static final long WRITER = 2;
    private static final double DEADLINE_MS = 4_000;

    private final List<Router.Action> next = new ArrayList<>();
    private final List<Engines.Answer> sent = new ArrayList<>();
    private final List<BooleanSupplier> permits = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private double now = 1_000;
    private int events;
    private boolean left;
    private boolean aborted;

    private final Loop loop = new Loop() {
        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public Alarm at(double whenMs, Runnable task) {
            return () -> {};
        }

        @Override
        public Alarm afterInput(Runnable task) {
            return () -> {};
        }
    };

    private final Engines engines = new Engines() {
        @Override
        public Sending send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
                Answer answer) {
            sent.add(answer);
            permits.add(mayBegin);
            return new Sending() {
                @Override
                public boolean unsent() {
                    return true;
                }

                @Override
                public void abort() {
                    aborted = true;
                }

                @Override
                public void pause() {}

                @Override
                public void resume() {}
            };
        }

        @Override
        public void release(long engine, String id, double untilMs, Runnable answered) {}
    };

    private final Caller caller = new Caller() {
        @Override
        public boolean hasLeft() {
            return left;
        }

        @Override
        public boolean event(byte[] event) {
            events++;
            return true;
        }

        @Override
        public void end() {
            answers.add("end");
        }

        @Override
        public void broken() {
            answers.add("broken");
        }

        @Override
        public void refuse(Why why, double retryAfterMs) {
            answers.add("refuse");
        }

        @Override
        public void fail(Why why) {
            answers.add("fail");
        }
    };

    private final Broker broker = broker();

    private Broker broker() {
        Router router = (nowMs, events) -> {
            List<Router.Action> actions = List.copyOf(next);
            next.clear();
            return actions;
        };
        Router.RequestClass booking = new Router.RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, Router.Repeat.UNSAFE,
                Router.Scope.ALL, 0);
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(booking), List.of(),
                List.of(new Router.Kind(Router.Role.WRITE, 1), new Router.Kind(Router.Role.READ, 1)),
                new Router.Limits(5, true, false, true, 1_000, false),
                new Router.Rules(8, 500, 1, 1, 1, 1, 1));
        Broker made = new Broker(router, settings, new Quotas(Budgets.open(3), loop, line -> {}), loop, engines,
                log::add);
        made.members(new Router.Members(Router.ListKind.WHOLE, 1,
                List.of(new Router.Member(WRITER, Router.State.READY, 0, 0, 0, 1, 0),
                        new Router.Member(READER, Router.State.READY, 0, 0, 0, 1, 1))));
        return made;
    }

    private void take(Router.Action... first) {
        next.addAll(List.of(first));
        broker.take(new ServiceRequest("a1", 0, 0, 0, 100, 0, 0, DEADLINE_MS, 10, 0, false, 10, null), caller);
    }

    @Test
    void aSecondRunOfWhatMayHaveRunIsNotMade() {
        take(new Router.Send(1, WRITER, DEADLINE_MS));
        next.add(new Router.Send(1, WRITER, DEADLINE_MS));
        sent.get(0).ended(Outcome.RESET, 0);
        assertThat(sent).hasSize(1);
        assertThat(broker.counters().of(Reason.MAY_HAVE_RUN)).isEqualTo(1);
        assertThat(broker.counters().of(Breach.SEND_WITHHELD)).isEqualTo(1);
        assertThat(log).anyMatch(line -> line.startsWith("rule broken: SEND_WITHHELD request a1 MAY_HAVE_RUN"));
    }

    /** Such an answer is some other request's; it proves nothing of this one. */
    @Test
    void aWritersAnswerThatOnlyReadersGiveIsNoProofThatItNeverRan() {
        take(new Router.Send(1, WRITER, DEADLINE_MS));
        next.add(new Router.Send(1, WRITER, DEADLINE_MS));
        sent.get(0).ended(Outcome.READ, 0);
        assertThat(sent).hasSize(1);
        assertThat(broker.counters().of(Outcome.ERROR)).isEqualTo(1);
    }

    @Test
    void aStreamFromAReaderIsNobodys() {
        take(new Router.Send(1, READER, DEADLINE_MS));
        sent.get(0).event("data: of another request\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(events).isZero();
        assertThat(broker.counters().of(Outcome.RESET)).isEqualTo(1);
    }

    @Test
    void aSecondAttemptIsNotMadeWhileOneIsOut() {
        take(new Router.Send(1, WRITER, DEADLINE_MS), new Router.Send(1, WRITER, DEADLINE_MS));
        assertThat(sent).hasSize(1);
        assertThat(broker.counters().of(Reason.ATTEMPT_OUT)).isEqualTo(1);
    }

    @Test
    void whatMayHaveRunIsAnsweredAsFailedThoughTheModuleRefusesIt() {
        take(new Router.Send(1, WRITER, DEADLINE_MS));
        next.add(new Router.Refuse(1, 100));
        sent.get(0).ended(Outcome.ERROR, 0);
        assertThat(answers).containsExactly("fail");
        assertThat(broker.counters().of(Breach.REFUSAL_WITHHELD)).isEqualTo(1);
    }

    /** Its close may wait unread in the same turn in which the connection comes up. */
    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotBeginForAClientThatLeftMeanwhile() {
        take(new Router.Send(1, WRITER, DEADLINE_MS));
        left = true;
        assertThat(permits.get(0).getAsBoolean()).isFalse();
        assertThat(aborted).isTrue();
        assertThat(broker.unanswered()).isZero();
    }

    @Test
    void anAttemptThatWaitedForItsConnectionDoesNotBeginAfterTheDeadline() {
        take(new Router.Send(1, WRITER, 1_000 + DEADLINE_MS));
        assertThat(permits.get(0).getAsBoolean()).isTrue();
        now += DEADLINE_MS;
        assertThat(permits.get(0).getAsBoolean()).isFalse();
        assertThat(aborted).isTrue();
    }
}
