package org.kingcuproad.policy.routing;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Draws and compares candidates for one request, looking at a bounded number of upstreams. */
final class CandidateSampler {

    /** Upstreams looked at for one candidate, apart from excluded ones; enough to pass a few that are saturated. */
    private static final int MAX_STEPS = 8;

    /**
     * Load over the limit that affinity may still dispatch. Under overload every upstream is full; without this room
     * each request goes to whichever upstream has a free place, and the cache hit share falls to that of a random
     * choice.
     */
    private static final double AFFINITY_OVERCOMMIT = 1.25;

    private final GroupState group;
    private final Set<String> excluded;
    private final SplittableRandom random;
    private final RouterSettings settings;
    private final long nowMs;

    CandidateSampler(
            GroupState group, Set<String> excluded, SplittableRandom random, RouterSettings settings, long nowMs) {
        this.group = group;
        this.excluded = excluded;
        this.random = random;
        this.settings = settings;
        this.nowMs = nowMs;
    }

    /**
     * Draws two candidates and returns the better one.
     *
     * @param list upstreams to draw from
     * @return the better candidate, or null if none of the upstreams looked at may take the request
     */
    @Nullable
    UpstreamState betterOfTwo(List<UpstreamState> list) {
        UpstreamState first = draw(list, null);
        return first == null ? null : better(first, draw(list, first));
    }

    private @Nullable UpstreamState draw(List<UpstreamState> list, @Nullable UpstreamState other) {
        int size = list.size();
        if (size == 0) {
            return null;
        }
        int start = random.nextInt(size);
        int steps = Math.min(size, MAX_STEPS + excluded.size());
        UpstreamState returning = null;
        for (int step = 0; step < steps; step++) {
            UpstreamState state = list.get((start + step) % size);
            if (state == other || !mayTake(state, 1)) {
                continue;
            }
            double share = state.ejection().share(nowMs);
            if (share >= 1 || random.nextDouble() < share) {
                return state;
            }
            returning = state;
        }
        return other == null ? returning : null;
    }

    /**
     * Compares two candidates.
     *
     * @param one a candidate, or null
     * @param other a candidate, or null
     * @return the one with the lower weighted load, or null if both are null
     */
    @Nullable
    UpstreamState better(@Nullable UpstreamState one, @Nullable UpstreamState other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return weightedLoad(other) < weightedLoad(one) ? other : one;
    }

    /**
     * Tells whether affinity may choose an upstream.
     *
     * @param state an upstream with a matching prefix
     * @return whether it is available, not excluded, not in a slow return, and within the load bound
     */
    boolean usableByAffinity(UpstreamState state) {
        return state.available()
                && mayTake(state, AFFINITY_OVERCOMMIT)
                && state.ejection().share(nowMs) >= 1
                && withinBound(state);
    }

    /**
     * Tells whether an upstream stays within the load bound with one more request.
     *
     * @param state an available upstream
     * @return whether its load is at most the bound
     */
    boolean withinBound(UpstreamState state) {
        double load = group.refresh(state, nowMs);
        return load + 1 <= group.loadBound(state, settings.affinityLoadFactor());
    }

    /**
     * Explains why no candidate was found.
     *
     * @return the reason
     */
    NoChoiceReason reasonForNone() {
        long excludedAvailable = group.available().size() > excluded.size()
                ? 0
                : group.available().stream().filter(this::isExcluded).count();
        return excludedAvailable == group.available().size() ? NoChoiceReason.ALL_EXCLUDED : NoChoiceReason.SATURATED;
    }

    private boolean mayTake(UpstreamState state, double overcommit) {
        if (isExcluded(state)) {
            return false;
        }
        double share = state.ejection().share(nowMs);
        double limit = Math.max(1, share * state.capacity());
        if (share < 1 && state.outstanding() >= limit) {
            return false;
        }
        return group.refresh(state, nowMs) < overcommit * state.capacity();
    }

    private boolean isExcluded(UpstreamState state) {
        return excluded.contains(state.upstream().name());
    }

    private double weightedLoad(UpstreamState state) {
        return (group.load(state, nowMs) + 1) / state.capacity() * slowness(state);
    }

    /** Compares the upstream's time to first token with the group's; without fresh observations it counts as equal. */
    private double slowness(UpstreamState state) {
        double mean = group.firstTokenMs().value();
        if (mean <= 0) {
            return 1;
        }
        double ratio = state.firstTokenMs().value() / mean;
        double bounded = Math.max(1 / settings.maxSlowness(), Math.min(settings.maxSlowness(), ratio));
        return 1 + (bounded - 1) * state.firstTokenMs().freshness(nowMs);
    }
}
