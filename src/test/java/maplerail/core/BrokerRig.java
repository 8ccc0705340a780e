package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.Router;
import maplerail.support.ManualLoop;

/** A broker with two readers and one writer that are not there, under a module that orders what a test tells it to. */
final class BrokerRig {
    static final long READER = 1;
    static final long WRITER = 2;
    static final long OTHER_READER = 3;
    static final double DEADLINE_MS = 4_000;
    static final double PIN_LIMIT_MS = 500;
    private static final int MOST_OPEN = 100;
    private static final double ANSWER_MS = 1; // of a release

    final ManualLoop loop = new ManualLoop();
    /** What the module orders next. */
    final List<Router.Action> next = new ArrayList<>();
    /** The attempts that went out, and what each asks before its first byte if it has to wait. */
    final List<EngineTransport.AnswerListener> sent = new ArrayList<>();
    final List<BooleanSupplier> permits = new ArrayList<>();
    /** When the first reader was told to let go, and when the other was. */
    final List<Double> releasedAtMs = new ArrayList<>();
    final List<Double> otherReleasedAtMs = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int events;
    private long listVersion = 1;
    boolean callerLeft;
    boolean aborted;
    /** Of the attempts that go out: whether a byte has been written, and whether an answer has begun. */
    boolean unsent;
    boolean answerBegun;
    /** Whether readers answer releases, a moment later. */
    boolean answersReleases;
    /** Of the request that was last taken. */
    RequestHandle handle;
    final Broker broker;

    /** A broker of one class whose requests must not take effect twice. */
    BrokerRig() {
        Router router = (nowMs, told) -> {
            List<Router.Action> actions = List.copyOf(next);
            next.clear();
            return actions;
        };
        Router.RequestClass booking = new Router.RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, Router.Repeat.UNSAFE,
                Router.Scope.ALL, 0);
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(booking), List.of(),
                List.of(new Router.Kind(Router.Role.READ, 1), new Router.Kind(Router.Role.WRITE, 1)),
                new Router.Limits(6, true, false, true, 1_000, false),
                new Router.Rules(8, PIN_LIMIT_MS, 1, 1, 1, 1, 1));
        broker = new Broker(router, settings, new Quotas(Budgets.withoutQuotas(MOST_OPEN), loop, line -> {}), loop,
                engines(),
                log::add);
        broker.updateEngines(new Router.Members(Router.ListKind.WHOLE, 1,
                List.of(new Router.Member(READER, Router.State.READY, 0, 0, 0, 1, 0),
                        new Router.Member(WRITER, Router.State.READY, 0, 0, 0, 1, 1),
                        new Router.Member(OTHER_READER, Router.State.READY, 0, 0, 0, 1, 0))));
    }

    /** Takes a request, for which the module orders this first. */
    void take(String id, Router.Action... first) {
        next.addAll(List.of(first));
        handle = broker.submit(new ServiceRequest(id, 0, 0, 0, 100, 0, 0, DEADLINE_MS, 10, 0, false, 10, null),
                caller());
    }

    /** Lets the module order this now. */
    void order(Router.Action... actions) {
        next.addAll(List.of(actions));
        broker.updateEngines(new Router.Members(Router.ListKind.CHANGES, ++listVersion, List.of()));
    }

    EngineTransport.AnswerListener lastSent() {
        return sent.get(sent.size() - 1);
    }

    private EngineTransport engines() {
        return new EngineTransport() {
            @Override
            public AttemptHandle send(long engine, ServiceRequest request, double untilMs, BooleanSupplier mayBegin,
                    AnswerListener answer) {
                sent.add(answer);
                permits.add(mayBegin);
                return sending();
            }

            @Override
            public void release(long engine, String id, double untilMs, Consumer<ReleaseResult> ended) {
                if (engine == READER) releasedAtMs.add(loop.now);
                if (engine == OTHER_READER) otherReleasedAtMs.add(loop.now);
                if (!answersReleases) return;
                loop.schedule(loop.now + ANSWER_MS, () -> ended.accept(new ReleaseResult(true, 1, ANSWER_MS)));
            }
        };
    }

    private EngineTransport.AttemptHandle sending() {
        return new EngineTransport.AttemptHandle() {
            @Override
            public boolean unsent() {
                return unsent;
            }

            @Override
            public boolean answerBegun() {
                return answerBegun;
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

    private Caller caller() {
        return new Caller() {
            @Override
            public boolean hasDisconnected() {
                return callerLeft;
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
    }
}
