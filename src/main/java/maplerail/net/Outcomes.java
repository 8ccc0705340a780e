package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import maplerail.Router.Outcome;

/**
 * Maps responses to the outcomes of attempts. Only the header that marks a declined request proves that the attempt
 * never ran.
 */
final class Outcomes {
    static final HttpString DECLINED = new HttpString("Srv-Declined");

    private Outcomes() {}

    static Outcome of(int status, HeaderMap headers) {
        boolean declined = "1".equals(headers.getFirst(DECLINED));
        return switch (status) {
            case 200 -> Outcome.SERVED;
            case 202 -> Outcome.READ;
            case 410 -> declined ? Outcome.STATE_GONE : Outcome.ERROR;
            case 429, 503, 504 -> declined ? Outcome.FULL : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    /**
     * Returns true if the status says that the request itself is invalid, rather than that the engine failed or that
     * the result of an earlier request (such as a held state) is missing.
     */
    static boolean isInvalidRequest(int status) {
        return status >= 400 && status < 500 && status != 408 && status != 410 && status != 429;
    }

    /**
     * Returns the outcome of a call without a complete response. An outcome from its head is kept if it proves that the
     * attempt never ran.
     */
    static Outcome ofFailure(Outcome headOutcome, ResponseHandler.Failure failure) {
        if (headOutcome != null && headOutcome != Outcome.READ && headOutcome.hadNoEffect) return headOutcome;
        return switch (failure) {
            case LOCAL_FAULT -> Outcome.NOT_SENT;
            case NEVER_SENT -> Outcome.UNREACHABLE;
            case BROKEN -> Outcome.RESET;
        };
    }
}
