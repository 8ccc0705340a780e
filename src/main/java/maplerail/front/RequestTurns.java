package maplerail.front;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import maplerail.core.Loop;

/**
 * Limits how many requests are handled before the loop turns to its timers and to other connections. Guards against
 * a client that sends hundreds of requests at once: the HTTP server handles each pipelined request in a task of its
 * own, one after the other, and until the last one no timer runs and no other connection is read.
 */
public final class RequestTurns implements Executor {
    /** Requests in a turn; a gateway that serves its share of a fleet gets fewer in the time that a turn takes. */
    static final int PER_TURN = 16;

    private final Loop loop;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private int handledInTurn;
    private boolean turning;

    /** Makes the turns of a loop. */
    public RequestTurns(Loop loop) {
        this.loop = loop;
    }

    /** True if one more request may be handled at once; it then counts. Else it is to be given to this executor. */
    public boolean handleNow() {
        if (handledInTurn >= PER_TURN || !waiting.isEmpty()) return false;
        handledInTurn++;
        awaitNextTurn();
        return true;
    }

    /** Handles a request in one of the next turns, in the order in which they came. */
    @Override
    public void execute(Runnable request) {
        waiting.add(request);
        awaitNextTurn();
    }

    private void awaitNextTurn() {
        if (turning) return;
        turning = true;
        loop.runAfterInput(this::nextTurn);
    }

    private void nextTurn() {
        turning = false;
        handledInTurn = 0;
        while (handledInTurn < PER_TURN && !waiting.isEmpty()) {
            handledInTurn++;
            waiting.poll().run();
        }
        if (handledInTurn > 0) awaitNextTurn();
    }
}
