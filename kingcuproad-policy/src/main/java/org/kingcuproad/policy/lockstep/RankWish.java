package org.kingcuproad.policy.lockstep;

/** State that the coordinator wants a rank to be in. */
public sealed interface RankWish {

    /**
     * Returns the version of the map that the wish is about.
     *
     * @return the version
     */
    long version();

    /**
     * Tells whether another wish asks for the same; a version stands for one map.
     *
     * @param other the other wish
     * @return {@code true} if kind and version are the same
     */
    default boolean sameAs(RankWish other) {
        return getClass().equals(other.getClass()) && version() == other.version();
    }

    /**
     * The rank has a map ready.
     *
     * @param version version of the map
     * @param map the map
     */
    record Prepared(long version, ExpertLists map) implements RankWish {}

    /**
     * The rank will use a prepared map from a pass on.
     *
     * @param version version of the map
     * @param step first pass that uses it
     */
    record Armed(long version, long step) implements RankWish {}

    /**
     * The rank is armed for nothing, and no late order can arm it: only the newest prepared version can be armed, so a
     * newer one, equal to the map in use, makes all earlier orders void.
     *
     * @param version the newer version
     * @param map the map in use
     */
    record Cleared(long version, ExpertLists map) implements RankWish {}
}
