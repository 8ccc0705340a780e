package maplerail.policy;

/**
 * What the answer to a request can consist of at most. Anything beyond shows that a stream is spoilt, however sound its
 * bytes look.
 *
 * @param chunkBytes size of a chunk, whatever size it states
 * @param chunkEvents number of events in a chunk
 * @param slowEventBytes size of an event that takes longer than a stream may stall
 */
public record AnswerLimits(int chunkBytes, int chunkEvents, int slowEventBytes) {
    /** Size of an event, however fast it arrives. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final int MAX_CHUNK_BYTES = 1 << 20;
    private static final int UNKNOWN_SLOW_EVENT_BYTES = 64 * 1024;
    /** What a chunk may hold beside its tokens. */
    private static final int CHUNK_BASE_BYTES = 64 * 1024;
    /** A token in an event of its own. */
    private static final int EVENT_BYTES_PER_TOKEN = 1024;
    /** Events without a token: a role, the reason for the end, usage, the last event. */
    private static final int EVENTS_WITHOUT_TOKEN = 16;
    private static final int EVENT_BASE_BYTES = 16 * 1024;
    /** The text of a token with all characters escaped. */
    private static final int TEXT_BYTES_PER_TOKEN = 64;

    /** Limits where the number of tokens is not known. */
    private static final AnswerLimits UNKNOWN = new AnswerLimits(MAX_CHUNK_BYTES, Integer.MAX_VALUE,
            UNKNOWN_SLOW_EVENT_BYTES);

    /** Returns the limits for an answer of so many tokens at most; 0 if that is not known. */
    public static AnswerLimits of(double maxOutputTokens) {
        if (!(maxOutputTokens > 0)) return UNKNOWN;
        return new AnswerLimits(atMost(MAX_CHUNK_BYTES, CHUNK_BASE_BYTES + maxOutputTokens * EVENT_BYTES_PER_TOKEN),
                atMost(Integer.MAX_VALUE, EVENTS_WITHOUT_TOKEN + maxOutputTokens),
                atMost(MAX_EVENT_BYTES, EVENT_BASE_BYTES + maxOutputTokens * TEXT_BYTES_PER_TOKEN));
    }

    private static int atMost(int limit, double value) {
        return (int) Math.min(limit, value);
    }
}
