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

/** Guards against random schedules with loss, duplication, reordering and crashes that split a step or block it. */
class RankSwitchScheduleTest {

    private static final int SCHEDULES = 10_000;

    private int committed;

    /** Runs one schedule and returns what is wrong. */
    private Optional<String> run(long seed, GroupWorld.Weakness weakness) {
        SplittableRandom random = new SplittableRandom(seed);
        SwitchId first = new SwitchId(2, 2 + random.nextInt(2));
        SwitchId second = random.nextBoolean() ? first : new SwitchId(3, 2 + random.nextInt(3));
        GroupWorld world = new GroupWorld(
                2 + random.nextInt(3), List.of(first, second), random.nextInt(4), 2 + random.nextInt(2), weakness);
        int chaos = random.nextInt(20, 200);
        for (int i = 0; i < chaos && world.wrong == null; i++) {
            step(world, random);
        }
        if (world.wrong != null) {
            return Optional.of(seed + ": " + world.wrong);
        }
        boolean ended = world.ends(400);
        long maps = Arrays.stream(world.engines)
                .mapToLong(engine -> engine.begunMap)
                .distinct()
                .count();
        committed += world.engines[0].begunMap == GroupWorld.OLD_MAP ? 0 : 1;
        return world.wrong != null || !ended || maps != 1
                ? Optional.of(seed + ": " + world.wrong + ", ended " + ended + ", maps " + maps)
                : Optional.empty();
    }

    private static void step(GroupWorld world, SplittableRandom random) {
        int kind = random.nextInt(100);
        List<GroupWorld.Mail> mail = new ArrayList<>(world.mail);
        int actions = world.actions();
        if (kind < 4) {
            world.tickAll();
        } else if (kind < 7) {
            world.tickCoordinators();
        } else if (kind < 12 && !mail.isEmpty()) {
            world.mail.remove(mail.get(random.nextInt(mail.size())));
        } else if (kind < 20 && !mail.isEmpty()) {
            world.arrive(mail.get(random.nextInt(mail.size())));
        } else if (kind < 80 && !mail.isEmpty()) {
            world.deliver(mail.get(random.nextInt(mail.size())));
        } else if (actions > mail.size()) {
            boolean crash = world.crashesLeft > 0 && random.nextInt(8) > 0;
            int others = actions - mail.size() - (crash ? 2 * world.ranks : 0);
            if (others > 0) {
                world.act(mail.size() + random.nextInt(others));
            }
        }
    }

    @Test
    void noStepHasTwoMapsAndEverySwitchEnds() {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            assertThat(run(seed, GroupWorld.Weakness.NONE)).isEmpty();
        }
        System.out.println("figure schedules " + SCHEDULES + ", ended in a new map " + committed);
        assertThat(committed).isBetween(SCHEDULES / 20, SCHEDULES);
    }

    /** An engine keeps one scheduled switch, so a second one must not be promised before the first took place. */
    @Test
    void aSecondSwitchWaitsUntilTheFirstTookPlace() {
        SwitchId second = new SwitchId(3, 3);
        GroupWorld world = new GroupWorld(2, List.of(new SwitchId(2, 2), second), 0, 2, GroupWorld.Weakness.NONE);
        deliverAll(
                world,
                mail -> mail.content() instanceof PrepareMap prepare
                        && prepare.id().equals(second));
        world.begin(0);
        world.begin(1);
        world.begin(0);
        deliverAll(world, mail -> false);
        boolean ended = world.ends(50);
        assertThat(world.wrong).isNull();
        assertThat(ended).isTrue();
    }

    @Test
    void aGroupOf128RanksSettlesWithoutItsCoordinator() {
        GroupWorld world = new GroupWorld(128, List.of(new SwitchId(2, 2)), 1, 2, GroupWorld.Weakness.NONE);
        List.copyOf(world.mail).forEach(world::deliver);
        world.mail.clear();
        world.crash(5, false);
        boolean ended = world.ends(60);
        assertThat(world.wrong).isNull();
        assertThat(ended).isTrue();
        assertThat(world.engines[0].begunMap).isEqualTo(GroupWorld.OLD_MAP);
    }

    private static void deliverAll(GroupWorld world, Predicate<GroupWorld.Mail> except) {
        for (int i = 0; i < 20; i++) {
            List.copyOf(world.mail).stream().filter(except.negate()).forEach(world::deliver);
        }
    }

    @ParameterizedTest
    @EnumSource(value = GroupWorld.Weakness.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void schedulesFindWhatEachMechanismPrevents(GroupWorld.Weakness weakness) {
        Optional<String> found = LongStream.range(0, SCHEDULES)
                .mapToObj(seed -> run(seed, weakness))
                .flatMap(Optional::stream)
                .filter(text -> text.contains(" has "))
                .findFirst();
        System.out.println("figure " + weakness + ": seed " + found);
        assertThat(found).isPresent();
    }
}
