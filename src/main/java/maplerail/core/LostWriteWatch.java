package maplerail.core;

import java.util.function.Consumer;
import maplerail.Router.Outcome;
import maplerail.policy.LostSendRule;

/** Looks after writes that may have been lost on a connection that fell silent, and lets their states go in time. */
final class LostWriteWatch {
    private enum Released {
        WRITE_HELD_FOR_LOST
    }

    private final Loop loop;
    private final RequestRegistry registry;
    private final LostSendRule rule;
    private final ServiceCounters counters;
    private final Consumer<String> log;

    LostWriteWatch(Loop loop, RequestRegistry registry, double pinLimitMs, ServiceCounters counters,
            Consumer<String> log) {
        this.loop = loop;
        this.registry = registry;
        this.rule = new LostSendRule(pinLimitMs);
        this.counters = counters;
        this.log = log;
    }

    /** The first event of a write has come. */
    void answered(ActiveRequest.Attempt attempt) {
        rule.answered(loop.nowMs() - attempt.sentMs);
    }

    /** An attempt has gone out: if it is to fetch a state, it is looked at before that has been held for too long. */
    void watch(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        if (attempt.reader || active.holds.isEmpty()) return;
        double heldSinceMs = active.attempts.stream().filter(earlier -> earlier.outcome == Outcome.READ)
                .mapToDouble(earlier -> earlier.endedMs).max().orElse(loop.nowMs());
        double lostAtMs = rule.lostAtMs(attempt.sentMs, heldSinceMs);
        if (lostAtMs < Double.POSITIVE_INFINITY) loop.at(lostAtMs, () -> releaseIfLost(attempt));
    }

    private void releaseIfLost(ActiveRequest.Attempt attempt) {
        ActiveRequest active = attempt.active;
        boolean heard = attempt.ended || attempt.heardMs > 0 || attempt.sending.provenAlive();
        if (heard || active.holds.isEmpty()) return;
        counters.count(Released.WRITE_HELD_FOR_LOST);
        log.accept("state of " + active.request.id() + " let go: its write at " + Long.toHexString(attempt.engine)
                + " not heard for " + Math.round(loop.nowMs() - attempt.sentMs) + " ms, " + attempt.sending.trace());
        registry.releaseHeld(active);
    }
}
