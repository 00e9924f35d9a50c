package org.kingcuproad.policy.mapswitch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against steps that use two maps and switches that never complete, under random loss, duplication and
 * reordering of messages and crashes.
 */
class RankSwitchScheduleTest {

    private static final int SCHEDULES = 10_000;

    private int committed;

    /** Runs one random schedule and returns the violation, if any. */
    private Optional<String> run(long seed, RankGroupModel.Mutation mutation) {
        SplittableRandom random = new SplittableRandom(seed);
        SwitchId first = new SwitchId(2, 2 + random.nextInt(2));
        SwitchId second = random.nextBoolean() ? first : new SwitchId(3, 2 + random.nextInt(3));
        RankGroupModel model = new RankGroupModel(
                2 + random.nextInt(3), List.of(first, second), random.nextInt(4), 2 + random.nextInt(2), mutation);
        int randomSteps = random.nextInt(20, 200);
        for (int i = 0; i < randomSteps && model.violation == null; i++) {
            step(model, random);
        }
        if (model.violation != null) {
            return Optional.of(seed + ": " + model.violation);
        }
        boolean completed = model.runToCompletion(400);
        long maps = Arrays.stream(model.engines)
                .mapToLong(engine -> engine.begunMap)
                .distinct()
                .count();
        committed += model.engines[0].begunMap == RankGroupModel.OLD_MAP ? 0 : 1;
        return model.violation != null || !completed || maps != 1
                ? Optional.of(seed + ": " + model.violation + ", ended " + completed + ", maps " + maps)
                : Optional.empty();
    }

    private static void step(RankGroupModel model, SplittableRandom random) {
        int kind = random.nextInt(100);
        List<RankGroupModel.Message> messages = new ArrayList<>(model.messages);
        int actionCount = model.actionCount();
        if (kind < 4) {
            model.tickAll();
        } else if (kind < 7) {
            model.tickCoordinators();
        } else if (kind < 12 && !messages.isEmpty()) {
            model.messages.remove(messages.get(random.nextInt(messages.size())));
        } else if (kind < 20 && !messages.isEmpty()) {
            model.process(messages.get(random.nextInt(messages.size())));
        } else if (kind < 80 && !messages.isEmpty()) {
            model.deliver(messages.get(random.nextInt(messages.size())));
        } else if (actionCount > messages.size()) {
            boolean crash = model.crashesLeft > 0 && random.nextInt(8) > 0;
            int others = actionCount - messages.size() - (crash ? 2 * model.ranks : 0);
            if (others > 0) {
                model.perform(messages.size() + random.nextInt(others));
            }
        }
    }

    @Test
    void everyStepUsesOneMapAndEverySwitchCompletes() {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            assertThat(run(seed, RankGroupModel.Mutation.NONE)).isEmpty();
        }
        System.out.println("figure schedules " + SCHEDULES + ", ended in a new map " + committed);
        assertThat(committed).isBetween(SCHEDULES / 20, SCHEDULES);
    }

    /**
     * An engine keeps only one scheduled switch, so a second one must not be promised before the first has taken
     * effect.
     */
    @Test
    void secondSwitchWaitsUntilTheFirstTookEffect() {
        SwitchId second = new SwitchId(3, 3);
        RankGroupModel model =
                new RankGroupModel(2, List.of(new SwitchId(2, 2), second), 0, 2, RankGroupModel.Mutation.NONE);
        deliverAll(
                model,
                messages -> messages.content() instanceof PrepareMap prepare
                        && prepare.id().equals(second));
        model.begin(0);
        model.begin(1);
        model.begin(0);
        deliverAll(model, messages -> false);
        boolean completed = model.runToCompletion(50);
        assertThat(model.violation).isNull();
        assertThat(completed).isTrue();
    }

    @Test
    void groupOf128RanksSettlesWithoutCoordinator() {
        RankGroupModel model = new RankGroupModel(128, List.of(new SwitchId(2, 2)), 1, 2, RankGroupModel.Mutation.NONE);
        List.copyOf(model.messages).forEach(model::deliver);
        model.messages.clear();
        model.crash(5, false);
        boolean completed = model.runToCompletion(60);
        assertThat(model.violation).isNull();
        assertThat(completed).isTrue();
        assertThat(model.engines[0].begunMap).isEqualTo(RankGroupModel.OLD_MAP);
    }

    private static void deliverAll(RankGroupModel model, Predicate<RankGroupModel.Message> except) {
        for (int i = 0; i < 20; i++) {
            List.copyOf(model.messages).stream().filter(except.negate()).forEach(model::deliver);
        }
    }

    @ParameterizedTest
    @EnumSource(value = RankGroupModel.Mutation.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void schedulesDetectEachDisabledMechanism(RankGroupModel.Mutation mutation) {
        Optional<String> found = LongStream.range(0, SCHEDULES)
                .mapToObj(seed -> run(seed, mutation))
                .flatMap(Optional::stream)
                .filter(text -> text.contains(" has "))
                .findFirst();
        System.out.println("figure " + mutation + ": seed " + found);
        assertThat(found).isPresent();
    }
}
