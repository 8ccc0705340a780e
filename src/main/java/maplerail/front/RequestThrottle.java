package maplerail.front;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import maplerail.core.EventLoop;

/**
 * Limits how many requests, or new connections, are handled before the loop returns to its timers and to other
 * connections. Guards against a client that sends hundreds of requests at once: the HTTP server handles each pipelined
 * request in a task of its own, one after the other, and until the last one has run no timer fires and no other
 * connection is read.
 */
public final class RequestThrottle implements Executor {
    /** Requests in one turn of the loop; a gateway that serves its share of a fleet receives fewer in that time. */
    static final int REQUESTS_PER_TURN = 16;

    private final EventLoop loop;
    private final ArrayDeque<Runnable> queued = new ArrayDeque<>();
    private int handledInTurn;
    private boolean turnScheduled;

    /** Creates a throttle for a loop. */
    public RequestThrottle(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns true, and counts the request, if it may be handled now; otherwise it is to be given to this executor. */
    public boolean tryHandleNow() {
        if (handledInTurn >= REQUESTS_PER_TURN || !queued.isEmpty()) return false;
        handledInTurn++;
        scheduleTurn();
        return true;
    }

    /** Queues a request for one of the next turns; requests are handled in the order of their arrival. */
    @Override
    public void execute(Runnable request) {
        queued.add(request);
        scheduleTurn();
    }

    private void scheduleTurn() {
        if (turnScheduled) return;
        turnScheduled = true;
        loop.runAfterInput(this::runTurn);
    }

    private void runTurn() {
        turnScheduled = false;
        handledInTurn = 0;
        while (handledInTurn < REQUESTS_PER_TURN && !queued.isEmpty()) {
            handledInTurn++;
            queued.poll().run();
        }
        if (handledInTurn > 0) scheduleTurn();
    }
}
