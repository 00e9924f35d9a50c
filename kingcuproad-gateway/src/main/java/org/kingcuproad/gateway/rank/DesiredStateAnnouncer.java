package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.MapDelta;
import org.kingcuproad.policy.lockstep.MapSwitchProtocol;

/**
 * Announces the desired states of a map change to the agents that have not reached them. A map is sent as the
 * difference from the one in use, which the agents know.
 */
final class DesiredStateAnnouncer {

    /**
     * Time after which ranks that still lack a map get it whole. An agent that has restarted does not know the base of
     * the difference.
     */
    private static final long WHOLE_MAP_DELAY_MS = 400;

    /** Agents that get a whole map in one round, so that it takes a fraction of the link. */
    private static final int MAX_WHOLE_MAPS = 2;

    private final BiConsumer<RankMessage, InetSocketAddress> output;
    private final DesiredStateBroadcaster broadcaster;
    private boolean holdRankWasIncluded;

    DesiredStateAnnouncer(BiConsumer<RankMessage, InetSocketAddress> output) {
        this.output = output;
        this.broadcaster = new DesiredStateBroadcaster(output);
    }

    /** Announces a desired state if it is new or due to be repeated. */
    void announce(
            MapCoordinator mapCoordinator,
            String group,
            long epoch,
            DesiredRankState desired,
            int ownRank,
            Map<Integer, InetSocketAddress> agentsByRank,
            long nowMs) {
        boolean holdRankIncluded = mapCoordinator.appliesTo(desired, MapSwitchProtocol.HOLD_RANK, nowMs);
        boolean holdRankNewlyIncluded = holdRankIncluded && !holdRankWasIncluded;
        holdRankWasIncluded = holdRankIncluded;
        if (!holdRankNewlyIncluded && !broadcaster.due(desired, nowMs)) {
            return;
        }
        List<InetSocketAddress> receivers = agentsByRank.entrySet().stream()
                .filter(agent -> agent.getKey() != ownRank)
                .filter(agent -> holdRankIncluded || agent.getKey() != MapSwitchProtocol.HOLD_RANK)
                .filter(agent -> mapCoordinator.pending(agent.getKey(), desired))
                .map(Map.Entry::getValue)
                .toList();
        RankMessage.DesiredState whole = new RankMessage.DesiredState(group, epoch, desired, List.of());
        Optional<MapDelta> delta = mapCoordinator.deltaTo(desired);
        broadcaster.broadcast(
                desired,
                delta.<RankMessage.Forwarded>map(difference -> withDelta(whole, difference))
                        .orElse(whole),
                receivers,
                nowMs);
        if (delta.isPresent() && broadcaster.ageMs(desired, nowMs) >= WHOLE_MAP_DELAY_MS) {
            receivers.stream().limit(MAX_WHOLE_MAPS).forEach(receiver -> output.accept(whole, receiver));
        }
    }

    private static RankMessage.DesiredMap withDelta(RankMessage.DesiredState whole, MapDelta delta) {
        boolean clearing = whole.desired() instanceof DesiredRankState.Cleared;
        return new RankMessage.DesiredMap(
                whole.group(), whole.epoch(), clearing, whole.desired().version(), delta, List.of());
    }
}
