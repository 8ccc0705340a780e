package maplerail.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.Tenant;

/** A token bucket for each tenant, filled at this node's part of the rate that is within the tenant's share. */
public final class TenantShares {
    private static final double BURST_MS = 5_000; // time whose share of requests a tenant may send at once

    private static final class Bucket {
        double tokens;
        double filledMs;

        Bucket(double tokens, double filledMs) {
            this.tokens = tokens;
            this.filledMs = filledMs;
        }
    }

    private final List<Tenant> tenants;
    private final int nodeCount;
    private final Map<Integer, Bucket> buckets = new TreeMap<>();

    /** Creates full buckets for tenants whose requests are spread evenly over the nodes. */
    public TenantShares(List<Tenant> tenants, int nodeCount) {
        this.tenants = tenants;
        this.nodeCount = Math.max(1, nodeCount);
    }

    /** Takes a token for a request; returns true if there was none, so that the request is over its tenant's share. */
    public boolean exceedsShare(int tenant, double nowMs) {
        double perMs = tenants.get(tenant).quotaPerSecond() / 1_000 / nodeCount;
        if (!(perMs > 0)) return false; // no limit
        double maxTokens = Math.max(1, BURST_MS * perMs);
        Bucket bucket = buckets.computeIfAbsent(tenant, t -> new Bucket(maxTokens, nowMs));
        double tokens = Math.min(maxTokens, bucket.tokens + (nowMs - bucket.filledMs) * perMs) - 1;
        bucket.tokens = Math.max(0, tokens);
        bucket.filledMs = nowMs;
        return tokens < 0;
    }
}
