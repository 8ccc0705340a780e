package maplerail.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.Router.Tenant;

/** A token bucket for each tenant, filled at this node's part of the rate that is within the tenant's share. */
public final class TenantShares {
    private static final double BURST_MS = 5_000; // of its share that a tenant may use at once

    private static final class Bucket {
        double tokens;
        double filledMs;

        Bucket(double tokens, double filledMs) {
            this.tokens = tokens;
            this.filledMs = filledMs;
        }
    }

    private final List<Tenant> tenants;
    private final int nodes;
    private final Map<Integer, Bucket> buckets = new TreeMap<>();

    /** Makes full buckets for tenants whose requests come to so many nodes alike. */
    public TenantShares(List<Tenant> tenants, int nodes) {
        this.tenants = tenants;
        this.nodes = Math.max(1, nodes);
    }

    /** Takes a token for a request; true if there was none, so that the request is over its tenant's share. */
    public boolean isOver(int tenant, double nowMs) {
        double perMs = tenants.get(tenant).quotaPerSecond() / 1_000 / nodes;
        if (!(perMs > 0)) return false; // no limit
        double most = Math.max(1, BURST_MS * perMs);
        Bucket bucket = buckets.computeIfAbsent(tenant, t -> new Bucket(most, nowMs));
        double left = Math.min(most, bucket.tokens + (nowMs - bucket.filledMs) * perMs) - 1;
        bucket.tokens = Math.max(0, left);
        bucket.filledMs = nowMs;
        return left < 0;
    }
}
