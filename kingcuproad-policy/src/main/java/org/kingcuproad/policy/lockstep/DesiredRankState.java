package org.kingcuproad.policy.lockstep;

/** State that the coordinator requires of a rank. */
public sealed interface DesiredRankState {

    /**
     * Returns the version of the map that this state refers to.
     *
     * @return the map version
     */
    long version();

    /**
     * Tells whether another desired state is equivalent. Maps are not compared, since a version identifies one map.
     *
     * @param other the other desired state
     * @return {@code true} if kind and version are the same
     */
    default boolean sameAs(DesiredRankState other) {
        return getClass().equals(other.getClass()) && version() == other.version();
    }

    /**
     * The rank has copied the experts of a map and is ready to switch to it.
     *
     * @param version version of the map
     * @param map the map
     */
    record Prepared(long version, ExpertPlacement map) implements DesiredRankState {}

    /**
     * The rank switches to a prepared map when a given pass begins.
     *
     * @param version version of the map
     * @param step step number of the first pass that uses the map
     */
    record Armed(long version, long step) implements DesiredRankState {}

    /**
     * The rank is not armed, and no delayed order can arm it. Only the newest prepared version can be armed, so
     * preparing a newer version with the content of the map in use makes all earlier orders void.
     *
     * @param version the newer version
     * @param map the map in use
     */
    record Cleared(long version, ExpertPlacement map) implements DesiredRankState {}
}
