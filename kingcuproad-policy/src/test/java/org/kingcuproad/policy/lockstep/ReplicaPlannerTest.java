package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/** Guards against maps that leave one rank with most of the load, lose an expert or overfill a rank. */
class ReplicaPlannerTest {

    private static final int RANKS = 12;
    private static final GroupShape SHAPE = new GroupShape(4, 72, 8, 3);

    private static final double[] EVEN = new double[RANKS];

    static {
        Arrays.fill(EVEN, 1);
    }

    private static int[][] inTurn() {
        return IntStream.range(0, RANKS)
                .mapToObj(rank -> IntStream.range(0, SHAPE.experts() / RANKS)
                        .map(place -> place * RANKS + rank)
                        .toArray())
                .toArray(int[][]::new);
    }

    /** Popularity by a power law over a random order of experts, as steep as on the users' worst days. */
    private static double[] skewed(long seed) {
        Random random = new Random(seed);
        double[] counts = new double[SHAPE.experts()];
        int[] order = IntStream.range(0, counts.length).toArray();
        for (int at = counts.length - 1; at > 0; at--) {
            int other = random.nextInt(at + 1);
            int swapped = order[at];
            order[at] = order[other];
            order[other] = swapped;
        }
        for (int rank = 0; rank < counts.length; rank++) {
            counts[order[rank]] = 1_000_000 / Math.pow(rank + 1, 1.3);
        }
        return counts;
    }

    @RepeatedTest(10)
    void levelsSkewedLoad(RepetitionInfo repetition) {
        double[] counts = skewed(repetition.getCurrentRepetition());
        int[][] lists = inTurn();
        double before = ReplicaPlanner.heaviestLoad(SHAPE, lists, counts, EVEN);

        for (int round = 0; round < 3; round++) {
            lists = ReplicaPlanner.plan(SHAPE, lists, counts, EVEN, 0.001);
        }

        double after = ReplicaPlanner.heaviestLoad(SHAPE, lists, counts, EVEN);
        assertThat(after).isLessThan(1.5).isLessThan(before * 0.6);
    }

    @RepeatedTest(10)
    void keepsEveryExpertWithinPlacesAndSpare(RepetitionInfo repetition) {
        int[][] lists = inTurn();
        for (int round = 0; round < 5; round++) {
            int[][] planned = ReplicaPlanner.plan(
                    SHAPE, lists, skewed(repetition.getCurrentRepetition() * 31L + round), EVEN, 0.001);

            assertThat(Arrays.stream(planned)
                            .flatMapToInt(Arrays::stream)
                            .distinct()
                            .count())
                    .as("experts that some rank holds")
                    .isEqualTo(SHAPE.experts());
            for (int rank = 0; rank < RANKS; rank++) {
                int[] old = lists[rank];
                assertThat(planned[rank].length).isLessThanOrEqualTo(SHAPE.places());
                assertThat(Arrays.stream(planned[rank])
                                .filter(expert -> Arrays.stream(old).noneMatch(held -> held == expert))
                                .count())
                        .as("experts that are new to rank %d", rank)
                        .isLessThanOrEqualTo(SHAPE.spare());
            }
            lists = planned;
        }
    }

    /** A group of the grown deployments: one more replica on each rank, and at most two copies a change. */
    @RepeatedTest(5)
    void levelsALargeGroupWithinTwoChanges(RepetitionInfo repetition) {
        int ranks = 63;
        GroupShape shape = new GroupShape(8, 252, 5, 2);
        double[] even = new double[ranks];
        Arrays.fill(even, 1);
        int[][] lists = IntStream.range(0, ranks)
                .mapToObj(rank ->
                        IntStream.range(0, 4).map(place -> place * ranks + rank).toArray())
                .toArray(int[][]::new);
        double[] counts = new Random(repetition.getCurrentRepetition())
                .doubles(shape.experts())
                .map(draw -> 1_000 / Math.pow(1 + draw * shape.experts(), 0.65))
                .toArray();

        for (int change = 0; change < 2; change++) {
            lists = ReplicaPlanner.plan(shape, lists, counts, even, 0.002);
        }

        assertThat(ReplicaPlanner.heaviestLoad(shape, lists, counts, even)).isLessThan(1.15);
    }

    @Test
    void copiesNothingForLevelLoad() {
        double[] counts = new double[SHAPE.experts()];
        Arrays.fill(counts, 1_000);

        int[][] planned = ReplicaPlanner.plan(SHAPE, inTurn(), counts, EVEN, 0.01);

        assertThat(ExpertLists.of(new int[][][] {planned}).copiesFrom(ExpertLists.of(new int[][][] {inTurn()})))
                .isZero();
    }

    @Test
    void copiesLessWhereCopiesCostMore() {
        double[] counts = skewed(7);
        ExpertLists start = ExpertLists.of(new int[][][] {inTurn()});

        int cheap = ExpertLists.of(new int[][][] {ReplicaPlanner.plan(SHAPE, inTurn(), counts, EVEN, 0.001)})
                .copiesFrom(start);
        int dear = ExpertLists.of(new int[][][] {ReplicaPlanner.plan(SHAPE, inTurn(), counts, EVEN, 0.2)})
                .copiesFrom(start);

        assertThat(dear).isLessThan(cheap);
    }

    @Test
    void takesExpertsOffASlowRank() {
        double[] counts = new double[SHAPE.experts()];
        Arrays.fill(counts, 1_000);
        double[] paces = EVEN.clone();
        paces[4] = 12;
        int[][] lists = inTurn();
        double before = ReplicaPlanner.heaviestLoad(SHAPE, lists, counts, paces);

        for (int round = 0; round < 3; round++) {
            lists = ReplicaPlanner.plan(SHAPE, lists, counts, paces, 0.001);
        }

        assertThat(before).isGreaterThan(10);
        assertThat(ReplicaPlanner.heaviestLoad(SHAPE, lists, counts, paces))
                .as("a pass lasts as long as the slow rank's part, so it must hold next to nothing")
                .isLessThan(2.5);
    }
}
