package org.kingcuproad.policy.routing;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Draws and compares candidate upstreams for one request, inspecting a bounded number of them. */
final class CandidateSampler {

    /** Upstreams inspected per candidate, not counting excluded ones; enough to skip a few saturated ones. */
    private static final int MAX_INSPECTED = 8;

    /**
     * Multiple of the concurrency limit up to which affinity may load an upstream. Under overload every upstream is
     * full; without overcommit each request would go to whichever upstream has a free slot, and the cache hit ratio
     * would fall to that of random routing.
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
     * @param list upstreams to sample
     * @return the better candidate, or null if none of the inspected upstreams can accept the request
     */
    @Nullable
    UpstreamState betterOfTwo(List<UpstreamState> list) {
        UpstreamState first = drawCandidate(list, null);
        return first == null ? null : better(first, drawCandidate(list, first));
    }

    private @Nullable UpstreamState drawCandidate(List<UpstreamState> list, @Nullable UpstreamState other) {
        int size = list.size();
        if (size == 0) {
            return null;
        }
        int start = random.nextInt(size);
        int inspectLimit = Math.min(size, MAX_INSPECTED + excluded.size());
        UpstreamState inSlowStart = null;
        for (int offset = 0; offset < inspectLimit; offset++) {
            UpstreamState state = list.get((start + offset) % size);
            if (state == other || !canAccept(state, 1)) {
                continue;
            }
            double share = state.ejection().share(nowMs);
            if (share >= 1 || random.nextDouble() < share) {
                return state;
            }
            inSlowStart = state;
        }
        return other == null ? inSlowStart : null;
    }

    /**
     * Returns the less loaded of two candidates.
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
     * Returns whether an upstream may be chosen by affinity.
     *
     * @param state an upstream with a matching prefix, or the home of the prefix
     * @return whether it is available, not excluded, not in slow start, and within the load bound
     */
    boolean eligibleForAffinity(UpstreamState state) {
        return state.available()
                && canAccept(state, AFFINITY_OVERCOMMIT)
                && state.ejection().share(nowMs) >= 1
                && withinBound(state);
    }

    /**
     * Returns whether an upstream stays within the load bound with one more request.
     *
     * @param state an available upstream
     * @return whether its load is at most the bound
     */
    boolean withinBound(UpstreamState state) {
        double load = group.refresh(state, nowMs);
        return load + 1 <= group.loadBound(state, settings.affinityLoadFactor());
    }

    /**
     * Returns the reason why no candidate was found.
     *
     * @return {@code ALL_EXCLUDED} if the request excludes every available upstream, otherwise {@code SATURATED}
     */
    NoChoiceReason noChoiceReason() {
        long excludedAvailable = group.available().size() > excluded.size()
                ? 0
                : group.available().stream().filter(this::isExcluded).count();
        return excludedAvailable == group.available().size() ? NoChoiceReason.ALL_EXCLUDED : NoChoiceReason.SATURATED;
    }

    private boolean canAccept(UpstreamState state, double overcommit) {
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
        return (group.load(state, nowMs) + 1) / state.capacity() * slownessFactor(state);
    }

    /**
     * Returns the factor by which the upstream's load is weighted: its time to first token relative to the group's
     * mean, which tends to 1 as the observations age.
     */
    private double slownessFactor(UpstreamState state) {
        double mean = group.firstTokenMs().value();
        if (mean <= 0) {
            return 1;
        }
        double ratio = state.firstTokenMs().value() / mean;
        double bounded = Math.max(1 / settings.maxSlowness(), Math.min(settings.maxSlowness(), ratio));
        return 1 + (bounded - 1) * state.firstTokenMs().freshness(nowMs);
    }
}
