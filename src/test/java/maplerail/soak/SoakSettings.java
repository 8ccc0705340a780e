package maplerail.soak;

import java.util.Locale;
import java.util.SplittableRandom;
import maplerail.soak.Ledger.Scope;

/** The gateway settings of a run, drawn from its seed within the limits of the protocol page. */
final class SoakSettings {
    /** The minimum deadline in first-token times, so that requests can be served in the quiet phase. */
    private static final int MIN_DEADLINE_IN_TOKEN_TIMES = 6;

    final int gateways;
    final double deadlineMs;
    /** The approximate time that a healthy writer takes for the first token, in milliseconds. */
    final int firstTokenMs;
    final double pinLimitMs;
    final double keyWindowMs;
    /** The engines among which repeats of keyed requests are deduplicated. */
    final Scope keyScope;
    final int maxAttempts = 6;
    final double startCapacity = 0.25;
    final double tipMultiple = 2.5;
    final double warmAfterMs;
    final double overloadForMs = 2_000;
    /** The capacity of a warm engine; the total load of the gateways is well below it. */
    final double engineRequestsPerS = 12;
    private final double connIdleMs;

    SoakSettings(int gateways, SplittableRandom random) {
        this.gateways = gateways;
        deadlineMs = random.nextBoolean() ? 800 + random.nextInt(900) : 2_500 + random.nextInt(2_000);
        firstTokenMs = 30 + random.nextInt((int) Math.min(270, deadlineMs / MIN_DEADLINE_IN_TOKEN_TIMES));
        pinLimitMs = random.nextInt(3) == 0 ? 250 : 500;
        keyWindowMs = 1_500 + random.nextInt(2_500);
        warmAfterMs = 6_000 + random.nextInt(6_000);
        connIdleMs = 2_000 + random.nextInt(8_000);
        // Drawn last, so that all other settings of older seeds stay the same.
        keyScope = Scope.values()[random.nextInt(Scope.values().length)];
    }

    String json() {
        return String.format(Locale.ROOT, "{\"balancers\":%d,\"zone\":0,\"tickMs\":2.0,\"discovery\":\"push\","
                + "\"overShareWorth\":1.0,\"familyInfo\":{\"kindRole\":[\"read\",\"write\"],"
                + "\"kindMemoryTokens\":[200000,150000],\"pinLimitMs\":%.1f,\"tokenAimMs\":[60.0,60.0,60.0]},"
                + "\"lanes\":[%s,%s,%s],\"limits\":{\"cancel\":true,\"connIdleMs\":%.1f,\"connectTimeoutMs\":250.0,"
                + "\"maxOpen\":20000,\"maxRetryAfterMs\":1000.0,\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":%d},"
                + "\"localities\":[\"a\",\"b\"],\"shapes\":[\"prefill\",\"decode\"],\"parties\":[],"
                + "\"rules\":{\"answerSlackMs\":16.0,\"startCapacity\":%.2f,\"tipMultiple\":%.1f,\"overloadForMs\":%.1f,"
                + "\"warmAfterMs\":%.1f,\"mustAskInMs\":10000.0,\"drainGraceMs\":250.0}}", gateways, pinLimitMs,
                lane("ask", "pure"), lane("move", "token"), lane("book", "side_effect"), connIdleMs, maxAttempts,
                startCapacity, tipMultiple, overloadForMs, warmAfterMs);
    }

    private String lane(String name, String repeat) {
        return String.format(Locale.ROOT,
                "{\"name\":\"%s\",\"goalTimeMs\":1000.0,\"deadlineMs\":%.1f,\"repeat\":\"%s\","
                        + "\"keyScope\":\"%s\",\"keyTtlMs\":%.1f,\"worth\":2.0,\"lateShare\":0.2,\"stream\":true}",
                name, deadlineMs, repeat, keyScope.name().toLowerCase(Locale.ROOT), keyWindowMs);
    }
}
