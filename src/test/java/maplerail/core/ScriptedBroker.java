package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import maplerail.policy.ProtocolRules.ClientPresence;
import maplerail.Router;
import maplerail.Router.Ended;
import maplerail.Router.ListKind;
import maplerail.Router.Member;
import maplerail.Router.Outcome;
import maplerail.Router.State;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests that run the broker with a scripted module and simulated engines. */
abstract class ScriptedBroker {
    static final long READER = 1;
    static final long WRITER = 2;
    static final long OTHER_READER = 3;

    final ManualLoop loop = new ManualLoop();
    /** Events that were delivered to the module. */
    final List<Router.Event> deliveredEvents = new ArrayList<>();
    /** Actions that the module orders at its next event. */
    final List<Router.Action> nextActions = new ArrayList<>();
    /** The attempts that were sent. */
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    /** Releases that were sent, as engine/request id. */
    final List<String> releases = new ArrayList<>();
    /** Times of these releases. */
    final List<Double> releaseTimesMs = new ArrayList<>();
    /** Tasks that answer the releases to unreachable engines. */
    final List<Runnable> unansweredReleases = new ArrayList<>();
    /** Whether engines receive releases. */
    boolean enginesReachable = true;
    /** How long the last release is retried. */
    double releaseRetryMs;
    /** Whether the last release may be tried again. */
    BooleanSupplier mayRetryRelease;
    /** What the caller received. */
    final List<String> callerEvents = new ArrayList<>();
    /** Whether the caller accepts further events. */
    boolean callerWritable = true;
    /** Whether attempts count as having no byte written. */
    boolean unsent;
    boolean callerDisconnected;
    Runnable onAbort = () -> {};
    /** Whether the module throws at its next event. */
    boolean moduleFails;
    Broker broker;

    final class SentAttempt implements EngineTransport.AttemptHandle {
        final EngineTransport.AnswerListener listener;
        boolean aborted;
        boolean paused;

        SentAttempt(EngineTransport.AnswerListener listener) {
            this.listener = listener;
        }

        @Override
        public boolean unsent() {
            return unsent;
        }

        @Override
        public void abort() {
            aborted = true;
            onAbort.run();
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
            deliveredEvents.addAll(events);
            List<Router.Action> actions = List.copyOf(nextActions);
            nextActions.clear();
            return actions;
        };
        Router.Settings settings = new Router.Settings(1, 1, 0, 2, false, 1, List.of(), List.of(),
                List.of(new Router.Kind(Router.Role.READ, 1), new Router.Kind(Router.Role.WRITE, 1)),
                new Router.Limits(5, true, true, true, 1_000, false), new Router.Rules(8, pinLimitMs, 1, 1, 1, 1, 1));
        EngineTransport transport = new EngineTransport() {
            @Override
            public AttemptHandle send(long engine, ServiceRequest request, double deadlineMs, BooleanSupplier mayStart,
                    AnswerListener listener) {
                sentAttempts.add(new SentAttempt(listener));
                return sentAttempts.get(sentAttempts.size() - 1);
            }

            @Override
            public void release(long engine, String id, double deadlineMs, BooleanSupplier mayRetry,
                    Consumer<ReleaseResult> onEnded) {
                releases.add(engine + "/" + id);
                releaseTimesMs.add(loop.now);
                Runnable reportResult = () -> onEnded.accept(new ReleaseResult(true, 1, 0));
                if (enginesReachable) reportResult.run();
                else unansweredReleases.add(reportResult);
                releaseRetryMs = deadlineMs - loop.now;
                mayRetryRelease = mayRetry;
            }
        };
        broker = new Broker(router, settings, new Quotas(Budgets.withoutQuotas(3), loop, line -> {}), loop, transport,
                line -> {});
        listEngines(State.READY);
        deliveredEvents.clear();
    }

    void listEngines(State writerState) {
        broker.updateEngines(new Router.Members(ListKind.WHOLE, 1,
                List.of(new Member(READER, State.READY, 0, 0, 0, 1, 0),
                        new Member(WRITER, writerState, 0, 0, 0, 1, 1),
                        new Member(OTHER_READER, State.READY, 0, 0, 0, 1, 0))));
    }

    /** Makes the module order these actions, by a list update without changes. */
    void performActions(Router.Action... actions) {
        nextActions.addAll(List.of(actions));
        broker.updateEngines(new Router.Members(ListKind.CHANGES, 2, List.of()));
    }

    RequestHandle submit(String id, Router.Action... actions) {
        nextActions.addAll(List.of(actions));
        return broker.submit(new ServiceRequest(id, 0, 0, 0, 10, 0, 0, 5_000, 10, 0, false, 10, null), new Caller() {
            @Override
            public ClientPresence presence() {
                return callerDisconnected ? ClientPresence.DISCONNECTED : ClientPresence.CONNECTED;
            }

            @Override
            public boolean event(byte[] event) {
                callerEvents.add("event");
                return callerWritable;
            }

            @Override
            public void end() {
                callerEvents.add("end");
            }

            @Override
            public void broken() {
                callerEvents.add("broken");
            }

            @Override
            public void refuse(Why why, double retryAfterMs) {
                callerEvents.add("refuse " + why + " " + Math.round(retryAfterMs));
            }

            @Override
            public void fail(Why why) {
                callerEvents.add("fail " + why);
            }
        });
    }

    static Router.Send send(long engine) {
        return new Router.Send(1, engine, 0);
    }

    List<Outcome> outcomes() {
        return deliveredEvents.stream().filter(e -> e instanceof Ended).map(e -> ((Ended) e).outcome()).toList();
    }
}
