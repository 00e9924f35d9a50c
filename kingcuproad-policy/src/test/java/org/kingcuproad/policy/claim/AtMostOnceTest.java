package org.kingcuproad.policy.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kingcuproad.model.Execution;
import org.kingcuproad.policy.ModelChecker;

/** Guards against executing a request twice and against reporting a false result to a caller. */
class AtMostOnceTest {

    private static final int SEEDS = 150;
    private static final int KEYS = 6;
    private static final int TRIES = 3;

    private static AtMostOnceModel runSchedule(
            long seed, Set<AtMostOnceModel.Fault> faults, AtMostOnceModel.Mutation mutation) {
        AtMostOnceModel model = new AtMostOnceModel(seed, faults, mutation, true, TRIES);
        for (int i = 0; i < KEYS; i++) {
            String key = i < 4 ? "key" + i : new BoundKey("b", model.agent("b").incarnation, i).text();
            model.at(model.random.nextInt(3_000), 0, "call", () -> model.call(key, 1));
        }
        model.runUntil(model.nowMs + 40_000);
        return model;
    }

    /**
     * Runs all seeds for one set of faults and prints the results that callers received. Each key is called up to
     * {@link #TRIES} times, and every call counts.
     */
    private static void checkFaults(Set<AtMostOnceModel.Fault> faults) {
        Map<Execution, Integer> counts = new EnumMap<>(Execution.class);
        int unanswered = 0;
        int notRunAfterRun = 0;
        int unknownOfBoundKeys = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            AtMostOnceModel model = runSchedule(seed, faults, AtMostOnceModel.Mutation.NONE);
            assertThat(model.violation()).as("%s seed %d", faults, seed).isEmpty();
            model.reports.forEach(report -> counts.merge(report.execution(), 1, Integer::sum));
            unknownOfBoundKeys += (int) model.reports.stream()
                    .filter(report -> report.execution() == Execution.UNKNOWN && BoundKey.looksBound(report.key()))
                    .count();
            unanswered += KEYS * TRIES - model.reports.size();
            notRunAfterRun += (int) model.reports.stream()
                    .filter(report ->
                            report.execution() == Execution.NOT_RUN && model.runsOfKey.containsKey(report.key()))
                    .filter(report -> !model.requestsRun.contains(report.requestId()))
                    .count();
        }
        int unknownBound = unknownOfBoundKeys;
        int unknown = -unknownBound + counts.getOrDefault(Execution.UNKNOWN, 0);
        int calls = SEEDS * KEYS * TRIES;
        System.out.printf(
                "figure | %s | %d | %d | %d | %d | %d | %d | %d | %.1f %% | %.1f %% |%n",
                faults,
                calls,
                counts.getOrDefault(Execution.RAN, 0),
                counts.getOrDefault(Execution.NOT_RUN, 0),
                notRunAfterRun,
                unknown,
                unknownBound,
                unanswered,
                100.0 * unknown / (calls * 4.0 / 6),
                100.0 * unknownBound / (calls * 2.0 / 6));
        assertThat(unknown).isLessThan(calls / 2);
    }

    @Test
    void holdsUnderSingleFaultsAndPairsOfFaults() {
        List<Set<AtMostOnceModel.Fault>> faultSets = new ArrayList<>();
        faultSets.add(EnumSet.noneOf(AtMostOnceModel.Fault.class));
        List<AtMostOnceModel.Fault> all = Arrays.asList(AtMostOnceModel.Fault.values());
        all.forEach(fault -> faultSets.add(EnumSet.of(fault)));
        IntStream.range(0, all.size())
                .forEach(first -> IntStream.range(first + 1, all.size())
                        .forEach(second -> faultSets.add(EnumSet.of(all.get(first), all.get(second)))));
        faultSets.forEach(AtMostOnceTest::checkFaults);
    }

    @ParameterizedTest
    @EnumSource(value = AtMostOnceModel.Mutation.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void schedulesDetectEachDisabledMechanism(AtMostOnceModel.Mutation mutation) {
        Set<AtMostOnceModel.Fault> faults = EnumSet.of(
                AtMostOnceModel.Fault.AGENT_RESTART,
                AtMostOnceModel.Fault.UPSTREAM_CHANGE,
                AtMostOnceModel.Fault.MESSAGE_LOSS);
        Optional<String> found = LongStream.range(0, 2_000)
                .mapToObj(
                        seed -> runSchedule(seed, faults, mutation).violation().map(text -> seed + ": " + text))
                .flatMap(Optional::stream)
                .findFirst();
        System.out.println("figure " + mutation + ": " + found);
        assertThat(found).isPresent();
    }

    private static AtMostOnceModel smallModel(Set<AtMostOnceModel.Fault> faults, AtMostOnceModel.Mutation mutation) {
        AtMostOnceModel model = new AtMostOnceModel(1, faults, mutation, false, 0);
        model.call("key", 1);
        model.changeUpstreams();
        model.call("key", 2);
        return model;
    }

    @Test
    void holdsInEveryInterleavingOfTwoCallsOwnerChangeAndRestart() {
        checkAllInterleavings(EnumSet.noneOf(AtMostOnceModel.Fault.class));
        checkAllInterleavings(EnumSet.of(AtMostOnceModel.Fault.AGENT_RESTART));
        checkAllInterleavings(EnumSet.of(AtMostOnceModel.Fault.LOST_RESPONSE));
        checkAllInterleavings(EnumSet.of(AtMostOnceModel.Fault.AGENT_RESTART, AtMostOnceModel.Fault.LOST_RESPONSE));
        ModelChecker.Result mutated = ModelChecker.search(
                () -> smallModel(
                        EnumSet.noneOf(AtMostOnceModel.Fault.class), AtMostOnceModel.Mutation.UNCONDITIONAL_WRITES),
                15_000);
        System.out.println("figure with unconditional writes: " + mutated);
        assertThat(mutated.violation()).isPresent();
    }

    private static void checkAllInterleavings(Set<AtMostOnceModel.Fault> faults) {
        ModelChecker.Result result =
                ModelChecker.search(() -> smallModel(faults, AtMostOnceModel.Mutation.NONE), 15_000);
        System.out.println("figure two calls, owner change, " + faults + ": " + result);
        assertThat(result.violation()).isEmpty();
    }
}
