package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/**
 * Guards against maps that don't reach the ranks: the whole map of a group of 129 ranks filled the link of rank 0, and
 * no change was ever prepared by all ranks. A difference must also lead to the same map on every rank.
 */
class MapDeltaTest {

    private static final GroupShape SHAPE = new GroupShape(16, 258, 3, 2);
    private static final int RANKS = 129;

    private static ExpertPlacement changed(ExpertPlacement base, int copies, long seed) {
        Random random = new Random(seed);
        int[][][] map =
                IntStream.range(0, base.sets()).mapToObj(base::expertsByRank).toArray(int[][][]::new);
        for (int copy = 0; copy < copies; copy++) {
            int set = random.nextInt(base.sets());
            int rank = random.nextInt(base.ranks());
            map[set][rank] = IntStream.concat(
                            IntStream.of(map[set][rank]), IntStream.of(random.nextInt(SHAPE.expertsPerSet())))
                    .distinct()
                    .toArray();
        }
        return ExpertPlacement.of(map);
    }

    @RepeatedTest(5)
    void leadsFromTheBaseToTheTarget(RepetitionInfo repetition) {
        ExpertPlacement base = ExpertPlacement.initial(SHAPE, RANKS);
        ExpertPlacement target = changed(base, 300, repetition.getCurrentRepetition());

        MapDelta delta = MapDelta.between(0, base, target);

        assertThat(delta.applyTo(base)).isEqualTo(target);
        assertThat(delta.changes()).hasSizeLessThanOrEqualTo(300);
    }

    @Test
    void isEmptyBetweenEqualMaps() {
        ExpertPlacement base = ExpertPlacement.initial(SHAPE, RANKS);

        assertThat(MapDelta.between(7, base, base).changes()).isEmpty();
    }
}
