package org.kingcuproad.policy.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Chooses the upstream for a request.
 *
 * <p>For plain services the expected wait decides: requests there times mean latency, raised by recent failures. For
 * model engines in lock-step every pass lasts as long as the slowest rank needs, so unread prompt tokens are spread
 * evenly first and running requests second.
 */
public final class PlaceChoice {

    /** Prompt tokens that a rank reads in about the time in which one more running request slows a pass noticeably. */
    private static final double TOKENS_PER_REQUEST = 256;

    /** Factor on the expected wait for an upstream that fails every request. */
    private static final double FAILURE_FACTOR = 8;

    /**
     * Requests by which a rank that takes twice as long counts as fuller. Its own requests prolong every pass of the
     * whole group, so it gets work only when all others are nearly full.
     */
    private static final double SLOW_FACTOR = 8;

    /** Latency assumed before the first answer, in milliseconds; low, so that unknown upstreams get tried. */
    private static final double UNKNOWN_LATENCY_MS = 1;

    /** Advantage of the own data centre, in requests: it decides only between otherwise equal upstreams. */
    private static final double SAME_DATA_CENTRE = 0.2;

    private PlaceChoice() {}

    /**
     * Chooses among the upstreams of a service.
     *
     * @param candidates the upstreams
     * @param engine whether they are model engines
     * @param offset position from which equal candidates are preferred, so that gateways differ
     * @return index of the choice, or empty if none has room
     */
    public static OptionalInt choose(List<PlaceCandidate> candidates, boolean engine, int offset) {
        int size = candidates.size();
        return IntStream.range(0, size)
                .map(index -> Math.floorMod(index + offset, size))
                .filter(index -> candidates.get(index).hasRoom())
                .boxed()
                .min(Comparator.comparingDouble(
                        index -> engine ? engineCost(candidates.get(index)) : plainCost(candidates.get(index))))
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
    }

    private static double engineCost(PlaceCandidate candidate) {
        return candidate.inFlight()
                + candidate.unreadTokens() / TOKENS_PER_REQUEST
                + FAILURE_FACTOR * candidate.failureShare()
                + SLOW_FACTOR * (candidate.pace() - 1)
                - (candidate.sameDataCentre() ? SAME_DATA_CENTRE : 0);
    }

    private static double plainCost(PlaceCandidate candidate) {
        double latency = Math.max(UNKNOWN_LATENCY_MS, candidate.latencyMs());
        return (candidate.inFlight() + 1 - (candidate.sameDataCentre() ? SAME_DATA_CENTRE : 0))
                * latency
                * (1 + FAILURE_FACTOR * candidate.failureShare());
    }
}
