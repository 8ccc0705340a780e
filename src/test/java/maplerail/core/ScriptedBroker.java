package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.Router.Ended;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.State;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.BeforeEach;

/** The broker between a scripted module and engines that are not there. */
abstract class ScriptedBroker {
    static final long READER = 1;
    static final long WRITER = 2;
    static final long OTHER_READER = 3;

    final ManualLoop loop = new ManualLoop();
    /** What the module was told, and what it orders next. */
    final List<Router.Event> told = new ArrayList<>();
    final List<Router.Action> next = new ArrayList<>();
    /** The attempts that went out. */
    final List<Out> out = new ArrayList<>();
    /** The releases that were asked for, and when; the answers to those that engines out of reach did not hear. */
    final List<String> released = new ArrayList<>();
    final List<Double> releasedAtMs = new ArrayList<>();
    final List<Runnable> unheard = new ArrayList<>();
    /** Whether engines hear releases. */
    boolean inReach = true;
    /** For how long the last release is tried. */
    double releasedForMs;
    /** What the caller was given. */
    final List<String> caller = new ArrayList<>();
    /** Whether the caller can take a further event. */
    boolean callerTakesMore = true;
    /** Whether nothing of any attempt has been written. */
    boolean unsent;
    boolean callerLeft;
    Runnable whenAborted = () -> {};
    /** Whether the module throws at its next event. */
    boolean moduleFails;
    Broker broker;

    final class Out implements EngineTransport.AttemptHandle {
        final EngineTransport.AnswerListener answer;
        boolean aborted;
        boolean paused;

        Out(EngineTransport.AnswerListener answer) {
            this.answer = answer;
        }

        @Override
        public boolean unsent() {
            return unsent;
        }

        @Override
        public void abort() {
            aborted = true;
            whenAborted.run();
        }

        @Override
        public void pause() {
            paused = true;
        }

        @Override
        public void resume() {
            paused = false;
        }
    }

    @BeforeEach
    void start() {
        start(500);
    }

    void start(double pinLimitMs) {
        Router router = (now, events) -> {
            if (moduleFails) throw new IllegalStateException("oops");
            told.addAll(events);
            List<Router.Action> actions = List.copyOf(next);
            next.clear();
            return actions;
        };
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(), List.of(),
                List.of(new Router.Kind(Router.Role.READ, 1), new Router.Kind(Router.Role.WRITE, 1)),
                new Router.Limits(5, true, true, true, 1_000, false), new Router.Rules(8, pinLimitMs, 1, 1, 1, 1, 1));
        EngineTransport engines = new EngineTransport() {
            @Override
            public AttemptHandle send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
                    AnswerListener answer) {
                out.add(new Out(answer));
                return out.get(out.size() - 1);
            }

            @Override
            public void release(long engine, String id, double untilMs, Consumer<ReleaseResult> ended) {
                released.add(engine + "/" + id);
                releasedAtMs.add(loop.now);
                Runnable answer = () -> ended.accept(new ReleaseResult(true, 1, 0));
                if (inReach) answer.run();
                else unheard.add(answer);
                releasedForMs = untilMs - loop.now;
            }
        };
        broker = new Broker(router, settings, new Quotas(Budgets.withoutQuotas(3), loop, line -> {}), loop, engines,
                line -> {});
        list(State.READY);
        told.clear();
    }

    void list(State writer) {
        broker.updateEngines(new Router.Members(ListKind.WHOLE, 1,
                List.of(new Member(READER, State.READY, 0, 0, 0, 1, 0),
                        new Member(WRITER, writer, 0, 0, 0, 1, 1),
                        new Member(OTHER_READER, State.READY, 0, 0, 0, 1, 0))));
    }

    /** Makes the module do something, by news that changes nothing. */
    void act(Router.Action... actions) {
        next.addAll(List.of(actions));
        broker.updateEngines(new Router.Members(ListKind.CHANGES, 2, List.of()));
    }

    RequestHandle take(String id, Router.Action... actions) {
        next.addAll(List.of(actions));
        return broker.submit(new ServiceRequest(id, 0, 0, 0, 10, 0, 0, 5_000, 10, 0, false, 10, null), new Caller() {
            @Override
            public boolean hasDisconnected() {
                return callerLeft;
            }

            @Override
            public boolean event(byte[] event) {
                caller.add("event");
                return callerTakesMore;
            }

            @Override
            public void end() {
                caller.add("end");
            }

            @Override
            public void broken() {
                caller.add("broken");
            }

            @Override
            public void refuse(Why why, double retryAfterMs) {
                caller.add("refuse " + why + " " + Math.round(retryAfterMs));
            }

            @Override
            public void fail(Why why) {
                caller.add("fail " + why);
            }
        });
    }

    static Router.Send send(long engine) {
        return new Router.Send(1, engine, 0);
    }

    List<Outcome> outcomes() {
        return told.stream().filter(e -> e instanceof Ended).map(e -> ((Ended) e).outcome()).toList();
    }
}
