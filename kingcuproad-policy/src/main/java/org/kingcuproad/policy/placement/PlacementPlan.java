package org.kingcuproad.policy.placement;

import java.util.List;

/** Layers that a planner wants to change, the most valuable change per move first. */
public final class PlacementPlan {

    private final long baseVersion;
    private final List<LayerTarget> targets;

    PlacementPlan(long baseVersion, List<LayerTarget> targets) {
        this.baseVersion = baseVersion;
        this.targets = List.copyOf(targets);
    }

    /**
     * Returns the version of the map that the plan was made for.
     *
     * @return the version
     */
    public long baseVersion() {
        return baseVersion;
    }

    /**
     * Returns the number of slots that change.
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
     * Returns the map that the whole plan leads to.
     *
     * @param map the map that the plan was made for
     * @return the map after the last piece
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
