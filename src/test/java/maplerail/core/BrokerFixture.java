package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.policy.ProtocolRules.ClientPresence;
import maplerail.Router;
import maplerail.support.ManualLoop;

/** A broker with two simulated readers, one simulated writer and a module that orders the actions given by a test. */
final class BrokerFixture {
    static final long READER = 1;
    static final long WRITER = 2;
    static final long OTHER_READER = 3;
    static final double DEADLINE_MS = 4_000;
    static final double PIN_LIMIT_MS = 500;
    private static final int MAX_OPEN = 100;
    private static final double RELEASE_ANSWER_MS = 1;

    final ManualLoop loop = new ManualLoop();
    /** Actions that the module orders at its next event. */
    final List<Router.Action> nextActions = new ArrayList<>();
    /** Listeners of the attempts that were sent. */
    final List<EngineTransport.AnswerListener> listeners = new ArrayList<>();
    /** For each attempt, the check before its first byte if it has to wait for its connection. */
    final List<BooleanSupplier> startChecks = new ArrayList<>();
    /** Times of the releases to the first reader. */
    final List<Double> releaseTimesMs = new ArrayList<>();
    /** Times of the releases to the other reader. */
    final List<Double> otherReleaseTimesMs = new ArrayList<>();
    final List<String> finalAnswers = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    int eventCount;
    private long listVersion = 1;
    boolean callerDisconnected;
    boolean aborted;
    /** Whether attempts count as having no byte written. */
    boolean unsent;
    /** Whether the answers of attempts count as started. */
    boolean responseStarted;
    /** Whether readers answer releases, after a short delay. */
    boolean answersReleases;
    /** Handle of the request that was submitted last. */
    RequestHandle handle;
    final Broker broker;

    /** Creates a broker with one request class whose requests must not take effect twice. */
    BrokerFixture() {
        Router router = (nowMs, events) -> {
            List<Router.Action> actions = List.copyOf(nextActions);
            nextActions.clear();
            return actions;
        };
        Router.RequestClass unsafeClass = new Router.RequestClass(1_000, 0, DEADLINE_MS, 0, 1, 0, Router.Repeat.UNSAFE,
                Router.Scope.ALL, 0);
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(unsafeClass), List.of(),
                List.of(new Router.Kind(Router.Role.READ, 1), new Router.Kind(Router.Role.WRITE, 1)),
                new Router.Limits(6, true, false, true, 1_000, false),
                new Router.Rules(8, PIN_LIMIT_MS, 1, 1, 1, 1, 1));
        broker = new Broker(router, settings, new Quotas(Budgets.withoutQuotas(MAX_OPEN), loop, line -> {}), loop,
                transport(), logLines::add);
        broker.updateEngines(new Router.Members(Router.ListKind.WHOLE, 1,
                List.of(new Router.Member(READER, Router.State.READY, 0, 0, 0, 1, 0),
                        new Router.Member(WRITER, Router.State.READY, 0, 0, 0, 1, 1),
                        new Router.Member(OTHER_READER, Router.State.READY, 0, 0, 0, 1, 0))));
    }

    /** Submits a request, for which the module first orders these actions. */
    void submit(String id, Router.Action... actions) {
        nextActions.addAll(List.of(actions));
        handle = broker.submit(new ServiceRequest(id, 0, 0, 0, 100, 0, 0, DEADLINE_MS, 10, 0, false, 10, null),
                caller());
    }

    /** Makes the module order these actions now. */
    void performActions(Router.Action... actions) {
        nextActions.addAll(List.of(actions));
        broker.updateEngines(new Router.Members(Router.ListKind.CHANGES, ++listVersion, List.of()));
    }

    EngineTransport.AnswerListener lastListener() {
        return listeners.get(listeners.size() - 1);
    }

    private EngineTransport transport() {
        return new EngineTransport() {
            @Override
            public AttemptHandle send(long engine, ServiceRequest request, double deadlineMs, BooleanSupplier mayStart,
                    AnswerListener listener) {
                listeners.add(listener);
                startChecks.add(mayStart);
                return attemptHandle();
            }

            @Override
            public void release(long engine, String id, double deadlineMs, BooleanSupplier mayRetry,
                    Consumer<ReleaseResult> onEnded) {
                if (engine == READER) releaseTimesMs.add(loop.now);
                if (engine == OTHER_READER) otherReleaseTimesMs.add(loop.now);
                if (!answersReleases) return;
                loop.schedule(loop.now + RELEASE_ANSWER_MS,
                        () -> onEnded.accept(new ReleaseResult(true, 1, RELEASE_ANSWER_MS)));
            }
        };
    }

    private EngineTransport.AttemptHandle attemptHandle() {
        return new EngineTransport.AttemptHandle() {
            @Override
            public boolean unsent() {
                return unsent;
            }

            @Override
            public boolean responseStarted() {
                return responseStarted;
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
            public ClientPresence presence() {
                return callerDisconnected ? ClientPresence.DISCONNECTED : ClientPresence.CONNECTED;
            }

            @Override
            public boolean event(byte[] event) {
                eventCount++;
                return true;
            }

            @Override
            public void end() {
                finalAnswers.add("end");
            }

            @Override
            public void broken() {
                finalAnswers.add("broken");
            }

            @Override
            public void refuse(Why why, double retryAfterMs) {
                finalAnswers.add("refuse");
            }

            @Override
            public void fail(Why why) {
                finalAnswers.add("fail");
            }
        };
    }
}
