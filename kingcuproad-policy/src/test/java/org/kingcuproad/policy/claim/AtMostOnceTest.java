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
import org.kingcuproad.policy.Explorer;

/** Guards against an order that runs twice, and against telling a caller something that is not so. */
class AtMostOnceTest {

    private static final int SEEDS = 150;
    private static final int ORDERS = 6;
    private static final int TRIES = 3;

    private static OrderWorld run(long seed, Set<OrderWorld.Fault> faults, OrderWorld.Weakness weakness) {
        OrderWorld world = new OrderWorld(seed, faults, weakness, true, TRIES);
        for (int i = 0; i < ORDERS; i++) {
            String key = i < 4 ? "key" + i : new BoundKey("b", world.agent("b").incarnation, i).text();
            world.at(world.random.nextInt(3_000), 0, "call", () -> world.call(key, 1));
        }
        world.runUntil(world.nowMs + 40_000);
        return world;
    }

    /** Runs one fault case and prints how callers fared; the last call of each order counts. */
    private static void measure(Set<OrderWorld.Fault> faults) {
        Map<Execution, Integer> counts = new EnumMap<>(Execution.class);
        int silent = 0;
        int notRunAfterRun = 0;
        int unknownOfBoundKeys = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            OrderWorld world = run(seed, faults, OrderWorld.Weakness.NONE);
            assertThat(world.violation()).as("%s seed %d", faults, seed).isEmpty();
            world.told.forEach(told -> counts.merge(told.execution(), 1, Integer::sum));
            unknownOfBoundKeys += (int) world.told.stream()
                    .filter(told -> told.execution() == Execution.UNKNOWN && BoundKey.looksBound(told.key()))
                    .count();
            silent += ORDERS * TRIES - world.told.size();
            notRunAfterRun += (int) world.told.stream()
                    .filter(told -> told.execution() == Execution.NOT_RUN && world.runsOfKey.containsKey(told.key()))
                    .filter(told -> !world.requestsRun.contains(told.requestId()))
                    .count();
        }
        int unknownBound = unknownOfBoundKeys;
        int unknown = -unknownBound + counts.getOrDefault(Execution.UNKNOWN, 0);
        int calls = SEEDS * ORDERS * TRIES;
        System.out.printf(
                "figure | %s | %d | %d | %d | %d | %d | %d | %d | %.1f %% | %.1f %% |%n",
                faults,
                calls,
                counts.getOrDefault(Execution.RAN, 0),
                counts.getOrDefault(Execution.NOT_RUN, 0),
                notRunAfterRun,
                unknown,
                unknownBound,
                silent,
                100.0 * unknown / (calls * 4.0 / 6),
                100.0 * unknownBound / (calls * 2.0 / 6));
        assertThat(unknown).isLessThan(calls / 2);
    }

    @Test
    void singleFaultsAndPairsOfThem() {
        List<Set<OrderWorld.Fault>> cases = new ArrayList<>();
        cases.add(EnumSet.noneOf(OrderWorld.Fault.class));
        List<OrderWorld.Fault> all = Arrays.asList(OrderWorld.Fault.values());
        all.forEach(fault -> cases.add(EnumSet.of(fault)));
        IntStream.range(0, all.size())
                .forEach(first -> IntStream.range(first + 1, all.size())
                        .forEach(second -> cases.add(EnumSet.of(all.get(first), all.get(second)))));
        cases.forEach(AtMostOnceTest::measure);
    }

    @ParameterizedTest
    @EnumSource(value = OrderWorld.Weakness.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void schedulesFindWhatEachMechanismPrevents(OrderWorld.Weakness weakness) {
        Set<OrderWorld.Fault> faults = EnumSet.of(
                OrderWorld.Fault.AGENT_RESTARTS, OrderWorld.Fault.UPSTREAMS_CHANGE, OrderWorld.Fault.SILENT_LINK);
        Optional<String> found = LongStream.range(0, 2_000)
                .mapToObj(seed -> run(seed, faults, weakness).violation().map(text -> seed + ": " + text))
                .flatMap(Optional::stream)
                .findFirst();
        System.out.println("figure " + weakness + ": " + found);
        assertThat(found).isPresent();
    }

    private static OrderWorld small(Set<OrderWorld.Fault> faults, OrderWorld.Weakness weakness) {
        OrderWorld world = new OrderWorld(1, faults, weakness, false, 0);
        world.call("key", 1);
        world.changeUpstreams();
        world.call("key", 2);
        return world;
    }

    @Test
    void everyOrderOfEventsOfTwoCallsOwnerChangeAndRestart() {
        search(EnumSet.noneOf(OrderWorld.Fault.class));
        search(EnumSet.of(OrderWorld.Fault.AGENT_RESTARTS));
        search(EnumSet.of(OrderWorld.Fault.LOST_RESPONSE));
        search(EnumSet.of(OrderWorld.Fault.AGENT_RESTARTS, OrderWorld.Fault.LOST_RESPONSE));
        Explorer.Result weak = Explorer.search(
                () -> small(EnumSet.noneOf(OrderWorld.Fault.class), OrderWorld.Weakness.UNCONDITIONAL_WRITES), 15_000);
        System.out.println("figure with unconditional writes: " + weak);
        assertThat(weak.violation()).isPresent();
    }

    private static void search(Set<OrderWorld.Fault> faults) {
        Explorer.Result result = Explorer.search(() -> small(faults, OrderWorld.Weakness.NONE), 15_000);
        System.out.println("figure two calls, owner change, " + faults + ": " + result);
        assertThat(result.violation()).isEmpty();
    }
}
