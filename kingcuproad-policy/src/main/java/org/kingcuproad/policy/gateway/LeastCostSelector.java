package org.kingcuproad.policy.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.kingcuproad.policy.enginegroup.GroupChoice;

/**
 * Selects the upstream with the least expected cost for a request.
 *
 * <p>For services other than model engines the cost is the expected wait: the number of requests in progress times the
 * mean latency, increased by recent failures. For model engines in lock-step every forward pass takes as long as the
 * slowest rank needs, so the cost spreads pending prompt tokens evenly first and running requests second. Where the
 * groups of the engines are known, the group is chosen first (see {@link GroupChoice}).
 */
public final class LeastCostSelector {

    /**
     * Number of pending prompt tokens that count as one running request: a rank processes them in about the time in
     * which one more running request slows a forward pass noticeably.
     */
    private static final double PREFILL_TOKENS_PER_REQUEST = 256;

    /**
     * Penalty on the cost of an upstream that fails every request: for engines a number of requests, for other services
     * a factor added to 1.
     */
    private static final double FAILURE_PENALTY = 8;

    /**
     * Penalty, in requests, for a rank that takes twice as long as usual. Its own requests prolong every forward pass
     * of the whole group, so it gets work only when all others are nearly full.
     */
    private static final double SLOWDOWN_PENALTY = 8;

    /** Minimum latency, which is also assumed while the latency of no upstream is known. */
    private static final double MIN_LATENCY_MS = 1;

    /**
     * Advantage of an upstream in the same data centre, in requests. It decides only between otherwise equal upstreams.
     */
    private static final double SAME_DATA_CENTRE_BONUS = 0.2;

    private LeastCostSelector() {}

    /**
     * Selects one of the upstreams of a service.
     *
     * @param candidates the upstreams
     * @param engine whether they are model engines
     * @param startIndex index from which equal candidates are preferred, so that gateways differ in their choice
     * @return index of the selected upstream, or empty if none has capacity
     */
    public static OptionalInt select(List<UpstreamCandidate> candidates, boolean engine, int startIndex) {
        int size = candidates.size();
        double unknownLatencyMs = meanLatencyMs(candidates);
        List<Boolean> inChosenGroup = engine
                ? GroupChoice.choose(candidates.stream()
                        .map(candidate -> candidate.groupMember(load(candidate) - dataCentreBonus(candidate)))
                        .toList())
                : candidates.stream().map(candidate -> true).toList();
        return IntStream.range(0, size)
                .map(index -> Math.floorMod(index + startIndex, size))
                .filter(index ->
                        inChosenGroup.get(index) && candidates.get(index).hasCapacity())
                .boxed()
                .min(Comparator.comparingDouble(index -> engine
                        ? engineCost(candidates.get(index))
                        : nonEngineCost(candidates.get(index), unknownLatencyMs)))
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
    }

    /**
     * Returns the latency assumed for an upstream without a response. One that has just started is slow, so a lower
     * value would send it most of the requests.
     */
    private static double meanLatencyMs(List<UpstreamCandidate> candidates) {
        return candidates.stream()
                .mapToDouble(UpstreamCandidate::latencyMs)
                .filter(latencyMs -> latencyMs > 0)
                .average()
                .orElse(MIN_LATENCY_MS);
    }

    private static double load(UpstreamCandidate candidate) {
        return candidate.inFlight() + candidate.pendingPrefillTokens() / PREFILL_TOKENS_PER_REQUEST;
    }

    private static double engineCost(UpstreamCandidate candidate) {
        return load(candidate)
                + FAILURE_PENALTY * candidate.failureRate()
                + SLOWDOWN_PENALTY * (candidate.slowdown() - 1)
                - dataCentreBonus(candidate);
    }

    private static double dataCentreBonus(UpstreamCandidate candidate) {
        return candidate.sameDataCentre() ? SAME_DATA_CENTRE_BONUS : 0;
    }

    private static double nonEngineCost(UpstreamCandidate candidate, double unknownLatencyMs) {
        double latencyMs =
                Math.max(MIN_LATENCY_MS, candidate.latencyMs() > 0 ? candidate.latencyMs() : unknownLatencyMs);
        return (candidate.inFlight() + 1 - dataCentreBonus(candidate))
                * latencyMs
                * (1 + FAILURE_PENALTY * candidate.failureRate());
    }
}
