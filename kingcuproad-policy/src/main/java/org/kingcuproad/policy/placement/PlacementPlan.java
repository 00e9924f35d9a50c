package org.kingcuproad.policy.placement;

import java.util.List;

/** Planned changes of layers, ordered by descending value per move. */
public final class PlacementPlan {

    private final long baseVersion;
    private final List<LayerTarget> targets;

    PlacementPlan(long baseVersion, List<LayerTarget> targets) {
        this.baseVersion = baseVersion;
        this.targets = List.copyOf(targets);
    }

    /**
     * Returns the version of the map that the plan starts from.
     *
     * @return the version
     */
    public long baseVersion() {
        return baseVersion;
    }

    /**
     * Returns the number of slots whose expert changes.
     *
     * @return the number of expert weights to load
     */
    public int moves() {
        return targets.stream().mapToInt(LayerTarget::moves).sum();
    }

    /**
     * Tells whether the plan changes nothing.
     *
     * @return whether no layer changes
     */
    public boolean isEmpty() {
        return targets.isEmpty();
    }

    /**
     * Returns the map that results from carrying out the whole plan.
     *
     * @param map the map that the plan starts from
     * @return the map after the last batch of moves
     */
    public ExpertMap applyTo(ExpertMap map) {
        return map.withMoves(targets.stream()
                .flatMap(target -> map.movesTo(target.layer(), target.slots()).stream())
                .toList());
    }

    List<LayerTarget> targets() {
        return targets;
    }
}
