package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/** Guards against maps that leave one rank with most of the load, lose an expert, or exceed the slots of a rank. */
class ReplicaPlannerTest {

    private static final int RANKS = 12;
    private static final GroupShape SHAPE = new GroupShape(4, 72, 8, 3);

    private static final double[] NO_SLOWDOWN = new double[RANKS];

    static {
        Arrays.fill(NO_SLOWDOWN, 1);
    }

    private static int[][] roundRobin() {
        return IntStream.range(0, RANKS)
                .mapToObj(rank -> IntStream.range(0, SHAPE.expertsPerSet() / RANKS)
                        .map(slot -> slot * RANKS + rank)
                        .toArray())
                .toArray(int[][]::new);
    }

    /** Power-law popularity over a random order of experts, as steep as under the users' most skewed load. */
    private static double[] skewedCounts(long seed) {
        Random random = new Random(seed);
        double[] counts = new double[SHAPE.expertsPerSet()];
        int[] order = IntStream.range(0, counts.length).toArray();
        for (int index = counts.length - 1; index > 0; index--) {
            int other = random.nextInt(index + 1);
            int swapped = order[index];
            order[index] = order[other];
            order[other] = swapped;
        }
        for (int popularityRank = 0; popularityRank < counts.length; popularityRank++) {
            counts[order[popularityRank]] = 1_000_000 / Math.pow(popularityRank + 1, 1.3);
        }
        return counts;
    }

    @RepeatedTest(10)
    void balancesSkewedLoad(RepetitionInfo repetition) {
        double[] counts = skewedCounts(repetition.getCurrentRepetition());
        int[][] expertsByRank = roundRobin();
        double before = ReplicaPlanner.maxRankLoad(SHAPE, expertsByRank, counts, NO_SLOWDOWN);

        for (int round = 0; round < 3; round++) {
            expertsByRank = ReplicaPlanner.plan(SHAPE, expertsByRank, counts, NO_SLOWDOWN, 0.001);
        }

        double after = ReplicaPlanner.maxRankLoad(SHAPE, expertsByRank, counts, NO_SLOWDOWN);
        assertThat(after).isLessThan(1.5).isLessThan(before * 0.6);
    }

    @RepeatedTest(10)
    void keepsEveryExpertWithinSlotAndCopyLimits(RepetitionInfo repetition) {
        int[][] expertsByRank = roundRobin();
        for (int round = 0; round < 5; round++) {
            int[][] planned = ReplicaPlanner.plan(
                    SHAPE,
                    expertsByRank,
                    skewedCounts(repetition.getCurrentRepetition() * 31L + round),
                    NO_SLOWDOWN,
                    0.001);

            assertThat(Arrays.stream(planned)
                            .flatMapToInt(Arrays::stream)
                            .distinct()
                            .count())
                    .as("experts that some rank holds")
                    .isEqualTo(SHAPE.expertsPerSet());
            for (int rank = 0; rank < RANKS; rank++) {
                int[] before = expertsByRank[rank];
                assertThat(planned[rank].length).isLessThanOrEqualTo(SHAPE.slotsPerRank());
                assertThat(Arrays.stream(planned[rank])
                                .filter(expert -> Arrays.stream(before).noneMatch(held -> held == expert))
                                .count())
                        .as("experts that are new to rank %d", rank)
                        .isLessThanOrEqualTo(SHAPE.maxNewExpertsPerChange());
            }
            expertsByRank = planned;
        }
    }

    /** A large deployment has one free slot on each rank and allows at most two copies per rank and map change. */
    @RepeatedTest(5)
    void balancesLargeGroupWithinTwoChanges(RepetitionInfo repetition) {
        int ranks = 63;
        GroupShape shape = new GroupShape(8, 252, 5, 2);
        double[] noSlowdown = new double[ranks];
        Arrays.fill(noSlowdown, 1);
        int[][] expertsByRank = IntStream.range(0, ranks)
                .mapToObj(rank ->
                        IntStream.range(0, 4).map(slot -> slot * ranks + rank).toArray())
                .toArray(int[][]::new);
        double[] counts = new Random(repetition.getCurrentRepetition())
                .doubles(shape.expertsPerSet())
                .map(draw -> 1_000 / Math.pow(1 + draw * shape.expertsPerSet(), 0.65))
                .toArray();

        for (int change = 0; change < 2; change++) {
            expertsByRank = ReplicaPlanner.plan(shape, expertsByRank, counts, noSlowdown, 0.002);
        }

        assertThat(ReplicaPlanner.maxRankLoad(shape, expertsByRank, counts, noSlowdown))
                .isLessThan(1.15);
    }

    @Test
    void copiesNothingWhenLoadIsEven() {
        double[] counts = new double[SHAPE.expertsPerSet()];
        Arrays.fill(counts, 1_000);

        int[][] planned = ReplicaPlanner.plan(SHAPE, roundRobin(), counts, NO_SLOWDOWN, 0.01);

        assertThat(ExpertPlacement.of(new int[][][] {planned})
                        .copiesFrom(ExpertPlacement.of(new int[][][] {roundRobin()})))
                .isZero();
    }

    @Test
    void makesFewerCopiesWhenCopiesCostMore() {
        double[] counts = skewedCounts(7);
        ExpertPlacement start = ExpertPlacement.of(new int[][][] {roundRobin()});

        int copiesAtLowCost = ExpertPlacement.of(
                        new int[][][] {ReplicaPlanner.plan(SHAPE, roundRobin(), counts, NO_SLOWDOWN, 0.001)})
                .copiesFrom(start);
        int copiesAtHighCost = ExpertPlacement.of(
                        new int[][][] {ReplicaPlanner.plan(SHAPE, roundRobin(), counts, NO_SLOWDOWN, 0.2)})
                .copiesFrom(start);

        assertThat(copiesAtHighCost).isLessThan(copiesAtLowCost);
    }

    @Test
    void movesExpertsOffSlowRank() {
        double[] counts = new double[SHAPE.expertsPerSet()];
        Arrays.fill(counts, 1_000);
        double[] slowdowns = NO_SLOWDOWN.clone();
        slowdowns[4] = 12;
        int[][] expertsByRank = roundRobin();
        double before = ReplicaPlanner.maxRankLoad(SHAPE, expertsByRank, counts, slowdowns);

        for (int round = 0; round < 3; round++) {
            expertsByRank = ReplicaPlanner.plan(SHAPE, expertsByRank, counts, slowdowns, 0.001);
        }

        assertThat(before).isGreaterThan(10);
        assertThat(ReplicaPlanner.maxRankLoad(SHAPE, expertsByRank, counts, slowdowns))
                .as("maximum load, where a pass waits for the slow rank, which must therefore hold almost no load")
                .isLessThan(2.5);
    }
}
