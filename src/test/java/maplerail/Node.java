package maplerail;

import java.util.ArrayList;
import java.util.List;
import maplerail.Router.Action;
import maplerail.Router.Arrival;
import maplerail.Router.Event;
import maplerail.Router.Kind;
import maplerail.Router.Limits;
import maplerail.Router.ListKind;
import maplerail.Router.Load;
import maplerail.Router.Member;
import maplerail.Router.Members;
import maplerail.Router.Outcome;
import maplerail.Router.Repeat;
import maplerail.Router.RequestClass;
import maplerail.Router.Role;
import maplerail.Router.Rules;
import maplerail.Router.Scope;
import maplerail.Router.Send;
import maplerail.Router.Settings;
import maplerail.Router.State;
import maplerail.Router.Tenant;

/** A node under test: a decision module, a clock that the test advances, and the actions of the module. */
final class Node {
    /** Settings that a test may change before it starts the module. */
    Repeat repeat = Repeat.PURE;
    Scope scope = Scope.ALL;
    boolean cancel = true;
    boolean secondCopies = true;
    boolean mustSubscribe;
    boolean writersRead;
    boolean retryAfter;
    double overSharePriorityFactor = 1;
    long seed = 1;
    int nodeCount = 1;
    List<Kind> kinds = List.of(new Kind(Role.READ, 200_000), new Kind(Role.WRITE, 150_000), new Kind(Role.BOTH, 1e5));
    List<Tenant> tenants = List.of();

    double nowMs = 1_000;
    /** Actions of all steps, without the timers that have fired. */
    final List<Action> actions = new ArrayList<>();
    /** Actions of the last step. */
    List<Action> lastActions = List.of();
    private Logic logic;

    Node start(Member... members) {
        RequestClass lowPriority = new RequestClass(1_000, 0.04, 5_000, 60, 1, 0.1, repeat, scope, 2_000);
        RequestClass highPriority = new RequestClass(2_500, 0.04, 12_000, 80, 3, 0.3, repeat, scope, 2_000);
        logic = new Logic(new Settings(seed, nodeCount, 0, 2, mustSubscribe, overSharePriorityFactor,
                List.of(lowPriority, highPriority), tenants, kinds,
                new Limits(5, cancel, secondCopies, retryAfter, 1_000, writersRead),
                new Rules(8, 300, 0.3, 2.5, 3_000, 10_000, 10_000)));
        reportList(ListKind.REMEMBERED, members);
        return this;
    }

    /** A node with three readers and two writers. */
    static Node smallFleet() {
        return new Node().start(reader(1), reader(2), reader(3), writer(11), writer(12));
    }

    static Member member(long engine, int kind) {
        return new Member(engine, State.READY, 0, 0, 0, 1, kind);
    }

    static Member reader(long engine) {
        return member(engine, 0);
    }

    static Member writer(long engine) {
        return member(engine, 1);
    }

    void reportList(ListKind kind, Member... members) {
        report(new Members(kind, 1, List.of(members)));
    }

    List<Action> report(Event event) {
        lastActions = logic.step(nowMs, List.of(event));
        actions.addAll(lastActions);
        return lastActions;
    }

    List<Action> arrive(long id) {
        return arrive(id, 0, 0, 1_000, 5_000);
    }

    List<Action> arrive(long id, long session, long prefix, double tokens, double budgetMs) {
        return report(
                new Arrival(id, 0, 0, session, tokens, prefix, prefix == 0 ? 0 : tokens / 2, budgetMs, 200, 0, false));
    }

    List<Action> end(long id, int attempt, Outcome outcome) {
        return end(id, attempt, outcome, 40, 0, outcome == Outcome.SERVED);
    }

    List<Action> end(long id, int attempt, Outcome outcome, double elapsedMs, double cachedTokens,
            boolean requestClosed) {
        return report(new Router.Ended(id, attempt, 0, outcome, elapsedMs, cachedTokens, requestClosed,
                new Load(Double.NaN)));
    }

    List<Action> firstToken(long id, int attempt) {
        return report(new Router.FirstToken(id, attempt, 0, 30));
    }

    /** Advances the clock, firing the timers that become due. */
    void advanceTo(double timeMs) {
        while (true) {
            double fromMs = nowMs;
            Router.SetTimer due = actions.stream().filter(a -> a instanceof Router.SetTimer)
                    .map(a -> (Router.SetTimer) a)
                    .filter(t -> t.atMs() <= timeMs).min(java.util.Comparator.comparingDouble(Router.SetTimer::atMs))
                    .orElse(null);
            if (due == null) {
                break;
            }
            actions.remove(due);
            nowMs = Math.max(fromMs, due.atMs());
            report(new Router.Timer(due.token()));
        }
        nowMs = timeMs;
    }

    /** The first send of the last step, or null. */
    Send lastSend() {
        return lastActions.stream().filter(a -> a instanceof Send).map(a -> (Send) a).findFirst().orElse(null);
    }

    List<Send> sends() {
        return actionsOf(Send.class);
    }

    <T extends Action> List<T> actionsOf(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Number of final answers that the module gave to a request. */
    long finalAnswers(long id) {
        return actions.stream().filter(a -> a instanceof Router.Refuse r && r.id() == id
                || a instanceof Router.Fail f && f.id() == id).count();
    }

    /** Serves a request at the engines that the module chooses. */
    void serve(long id) {
        end(id, 0, Outcome.READ);
        firstToken(id, 1);
        end(id, 1, Outcome.SERVED);
    }

    /** Number of entries in the module's tables. */
    int tableEntries() {
        return logic.tableEntries();
    }
}
