package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.GroupShape;

/** Guards against a rank that can't apply a difference because it has forgotten the map in use. */
class KnownMapsTest {

    private static final GroupShape SHAPE = new GroupShape(2, 6, 4, 1);
    private static final int RANKS = 3;

    private final ExpertPlacement initial = ExpertPlacement.initial(SHAPE, RANKS);
    private final KnownMaps maps = new KnownMaps();

    private RankExperts held(int rank) {
        return new RankExperts(1, 0, new int[][] {initial.experts(0, rank), initial.experts(1, rank)});
    }

    /** Several changes in a row may be given up while the same map stays in use. */
    @Test
    void keepsTheMapInUseWhileChangesAreGivenUp() {
        maps.addInitial(SHAPE, RANKS, 1, held(1));
        for (long version = 10; version < 200; version += 10) {
            maps.add(version, initial, 0);
        }

        assertThat(maps.get(0)).contains(initial);
        assertThat(maps.get(190)).as("newest map").contains(initial);
        assertThat(maps.get(10)).as("map given up long ago").isEmpty();
    }

    /** The assignment of a new group is computed, so it is only trusted if the rank's own experts agree. */
    @Test
    void doesNotAssumeAnInitialMapThatTheRankDoesNotHold() {
        maps.addInitial(SHAPE, RANKS, 2, held(1));

        assertThat(maps.get(0)).isEmpty();
    }

    @Test
    void forgetsTheMapsOfAnEarlierFormation() {
        maps.addInitial(SHAPE, RANKS, 1, held(1));
        maps.clear();

        assertThat(maps.get(0)).isEmpty();
    }
}
