package org.kingcuproad.gateway.rank;

import java.util.Arrays;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.GroupShape;

/** Whole expert maps that an agent has seen since its group was formed, to which differences can be applied. */
final class KnownMaps {

    /** Version of the map with which a newly formed group starts. */
    private static final long INITIAL_VERSION = 0;

    /** Number of the newest maps that are kept besides the one in use: one being prepared, and some given up. */
    private static final int MAX_NEWER_MAPS = 3;

    private final TreeMap<Long, ExpertPlacement> byVersion = new TreeMap<>();

    /** Forgets all maps, because a newly formed group counts its versions anew. */
    void clear() {
        byVersion.clear();
    }

    /**
     * Records a map. The map in use is kept however many changes are given up, since differences refer to it.
     *
     * @param inUseVersion version of the map in use
     */
    void add(long version, ExpertPlacement map, long inUseVersion) {
        byVersion.put(version, map);
        while (byVersion.headMap(version, true).size() > MAX_NEWER_MAPS + 1) {
            Long oldest = byVersion.keySet().stream()
                    .filter(candidate -> candidate != inUseVersion)
                    .findFirst()
                    .orElse(version);
            byVersion.remove(oldest);
        }
    }

    /** Records the map with which the group starts, unless the experts of this rank show that it is another one. */
    void addInitial(GroupShape shape, int ranks, int rank, RankExperts held) {
        ExpertPlacement initial = ExpertPlacement.initial(shape, ranks);
        boolean matches = held.mapVersion() == INITIAL_VERSION
                && held.bySet().length == shape.sets()
                && IntStream.range(0, shape.sets())
                        .allMatch(set -> Arrays.equals(initial.experts(set, rank), held.bySet()[set]));
        if (matches) {
            byVersion.put(INITIAL_VERSION, initial);
        }
    }

    /** Returns the map with a version, if it is known. */
    Optional<ExpertPlacement> get(long version) {
        return Optional.ofNullable(byVersion.get(version));
    }
}
