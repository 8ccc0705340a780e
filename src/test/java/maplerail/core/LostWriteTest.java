package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import maplerail.Router;
import maplerail.Router.Outcome;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.Test;

/**
 * A write that was sent on a connection which had fallen silent has not arrived: it is not out, and the time in which
 * the state that it was to fetch must be let go runs on.
 */
class LostWriteTest {
    private static final long READER = 1;
    private static final long WRITER = 2;
    private static final double PIN_LIMIT_MS = 500;
    private static final double SLACK_MS = 300; // of the rule, for the release to arrive
    private static final double READ_ENDED_MS = 1_100;

    private final ManualLoop loop = new ManualLoop();
    private final List<Router.Action> next = new ArrayList<>();
    private final List<Engines.Answer> sent = new ArrayList<>();
    private final List<Double> releasedAtMs = new ArrayList<>();
    private boolean provenAlive;
    private final Broker broker = broker();

    private Broker broker() {
        Router router = (nowMs, events) -> {
            List<Router.Action> actions = List.copyOf(next);
            next.clear();
            return actions;
        };
        Router.RequestClass booking = new Router.RequestClass(1_000, 0, 4_000, 0, 1, 0, Router.Repeat.UNSAFE,
                Router.Scope.ALL, 0);
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(booking), List.of(),
                List.of(new Router.Kind(Router.Role.READ, 1), new Router.Kind(Router.Role.WRITE, 1)),
                new Router.Limits(6, true, false, true, 1_000, false),
                new Router.Rules(8, PIN_LIMIT_MS, 1, 1, 1, 1, 1));
        Broker made = new Broker(router, settings, new Quotas(Budgets.open(100), loop, line -> {}), loop, engines(),
                line -> {});
        made.members(new Router.Members(Router.ListKind.WHOLE, 1,
                List.of(new Router.Member(READER, Router.State.READY, 0, 0, 0, 1, 0),
                        new Router.Member(WRITER, Router.State.READY, 0, 0, 0, 1, 1))));
        return made;
    }

    private Engines engines() {
        return new Engines() {
            @Override
            public Sending send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
                    Answer answer) {
                sent.add(answer);
                return new Sending() {
                    @Override
                    public boolean unsent() {
                        return false;
                    }

                    @Override
                    public boolean provenAlive() {
                        return provenAlive;
                    }

                    @Override
                    public void abort() {}

                    @Override
                    public void pause() {}

                    @Override
                    public void resume() {}
                };
            }

            @Override
            public void release(long engine, String id, double untilMs, Runnable answered) {
                if (engine == READER) releasedAtMs.add(loop.now);
            }
        };
    }

    private final Caller caller = new Caller() {
        @Override
        public boolean event(byte[] event) {
            return true;
        }

        @Override
        public void end() {}

        @Override
        public void broken() {}

        @Override
        public void refuse(Why why, double retryAfterMs) {}

        @Override
        public void fail(Why why) {}
    };

    /** A request whose read has ended and whose write is out. */
    private Engines.Answer writeOut(int number) {
        next.add(new Router.Send(number, READER, 1e9));
        broker.take(new ServiceRequest("a" + number, 0, 0, 0, 100, 0, 0, 4_000, 10, 0, false, 10, null), caller);
        Engines.Answer read = sent.get(sent.size() - 1);
        loop.until(loop.now + READ_ENDED_MS - 1_000);
        next.add(new Router.Send(number, WRITER, 1e9));
        read.ended(Outcome.READ, 0);
        return sent.get(sent.size() - 1);
    }

    @Test
    void aStateIsLetGoInTimeIfItsWriteIsNotHeardOnAKeptConnection() {
        writeOut(1);
        loop.until(READ_ENDED_MS + PIN_LIMIT_MS);
        assertThat(releasedAtMs).isNotEmpty();
        assertThat(releasedAtMs.get(0)).isLessThan(READ_ENDED_MS + PIN_LIMIT_MS + SLACK_MS / 2);
    }

    @Test
    void aStateStaysForAWriteOnAConnectionThatHasJustComeUp() {
        provenAlive = true;
        writeOut(1);
        loop.until(READ_ENDED_MS + 3 * PIN_LIMIT_MS);
        assertThat(releasedAtMs).isEmpty();
    }

    @Test
    void aStateStaysWhileWritersUsuallyTakeNearlyAsLong() {
        for (int number = 1; number <= 5; number++) {
            Engines.Answer write = writeOut(number);
            loop.until(loop.now + 0.6 * PIN_LIMIT_MS);
            write.event(new byte[1]);
            write.ended(Outcome.SERVED, 0);
        }
        writeOut(6);
        loop.until(loop.now + 1.5 * PIN_LIMIT_MS);
        assertThat(releasedAtMs).isEmpty();
    }
}
