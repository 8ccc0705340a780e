package maplerail.front;

import java.util.EnumSet;
import java.util.Set;

/** One client connection of a {@link ClientListener}: its state, since when it is in it, and what has arrived on it. */
final class ClientConnection {
    /**
     * State of a connection: new and without a byte yet, receiving a request, ending, waiting for its turn (as a new
     * connection or with a request), with a request in flight, idle between requests, or taken over by another protocol.
     * One that is ending carries its last answer; what its client still sends is discarded, as a close over unread bytes
     * would reset the connection and take the answer with it.
     */
    enum State { SILENT, RECEIVING, ENDING, QUEUED, IN_FLIGHT, IDLE, UPGRADED }

    private static final Set<State> ACTIVE_STATES = EnumSet.of(State.RECEIVING, State.QUEUED, State.IN_FLIGHT);
    /** Time in which a client that reads has received the last answer on its connection. */
    private static final double MAX_DELIVERY_MS = 1_000;

    State state = State.SILENT;
    double sinceMs;
    final ArrivalLog arrivals = new ArrivalLog();
    ArrivalConduit source;
    /** When the last bytes were read, and how long the current request may take while more keep arriving. */
    double lastByteMs;
    double receiveTimeoutMs = ClientListener.RECEIVE_TIMEOUT_MS;
    /** Lets go of what is held for the current request. */
    Runnable requestEndAction = () -> {};

    /** Ends the current request: its exchange is complete, or the connection is closed. */
    void endRequest() {
        source.setTap(null);
        requestEndAction.run();
        requestEndAction = () -> {};
    }

    /** Since when it has been in its state without a byte from its client. */
    double quietSinceMs() {
        return Math.max(sinceMs, lastByteMs);
    }

    /** Whether a request is open or arriving, or the last answer on its way. */
    boolean isActive(double nowMs) {
        boolean answerOnItsWay = state == State.ENDING && nowMs - sinceMs < MAX_DELIVERY_MS;
        return answerOnItsWay || ACTIVE_STATES.contains(state);
    }
}
