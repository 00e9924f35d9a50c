package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.GroupShape;

/** Receives desired states: forwards them to other agents, and restores maps that were sent as differences. */
final class DesiredStateReceiver {

    private final BiConsumer<RankMessage, InetSocketAddress> output;
    private final KnownMaps knownMaps = new KnownMaps();

    DesiredStateReceiver(BiConsumer<RankMessage, InetSocketAddress> output) {
        this.output = output;
    }

    /** Forgets the maps of an earlier formation of the group. */
    void reset() {
        knownMaps.clear();
    }

    /** Records the map with which the group started, if the rank still holds the experts of that map. */
    void onHeldExperts(GroupShape shape, int ranks, int rank, RankExperts held) {
        knownMaps.addInitial(shape, ranks, rank, held);
    }

    /** Records the map of a desired state, to which later differences may refer. */
    void remember(DesiredRankState desired, long inUseVersion) {
        switch (desired) {
            case DesiredRankState.Prepared prepared -> knownMaps.add(prepared.version(), prepared.map(), inUseVersion);
            case DesiredRankState.Cleared cleared -> knownMaps.add(cleared.version(), cleared.map(), inUseVersion);
            case DesiredRankState.Armed armed -> {}
        }
    }

    /**
     * Forwards a message and returns the desired state.
     *
     * @param epoch formation number of the group, to which known maps belong
     * @return the desired state, or empty if it is the difference from a map that is not known
     */
    Optional<DesiredRankState> receive(RankMessage.Forwarded message, long epoch) {
        message.forwardTo().forEach(receiver -> output.accept(message.withForwardTo(List.of()), receiver));
        return switch (message) {
            case RankMessage.DesiredState whole -> Optional.of(whole.desired());
            case RankMessage.DesiredMap difference ->
                difference.epoch() == epoch
                        ? knownMaps.get(difference.delta().baseVersion()).map(difference::resolve)
                        : Optional.empty();
        };
    }
}
