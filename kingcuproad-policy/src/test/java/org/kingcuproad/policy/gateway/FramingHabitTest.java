package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against taking a sign of trouble for the way in which a service ends its responses. */
class FramingHabitTest {

    private final FramingHabit habit = new FramingHabit();

    private void record(ResponseFraming framing, int count) {
        IntStream.range(0, count).forEach(unused -> habit.onResponse(framing));
    }

    @Test
    void knowsNothingOfAServiceAtFirst() {
        record(ResponseFraming.NO_BODY, 2 * FramingHabit.MIN_RESPONSES);
        record(ResponseFraming.CONNECTION, FramingHabit.MIN_RESPONSES - 1);

        assertThat(habit.kind()).isEqualTo(FramingHabit.Kind.UNKNOWN);
    }

    @Test
    void knowsAServiceThatStatesNoEnds() {
        record(ResponseFraming.CONNECTION, FramingHabit.MIN_RESPONSES);

        assertThat(habit.kind()).isEqualTo(FramingHabit.Kind.ENDS_WITH_CONNECTION);
    }

    @Test
    void isNotMisledByAServiceThatStatedAnEndOnce() {
        record(ResponseFraming.LENGTH, 1);
        record(ResponseFraming.CONNECTION, 100 * FramingHabit.MIN_RESPONSES);

        assertThat(habit.kind()).isEqualTo(FramingHabit.Kind.STATES_ENDS);
    }

    @Test
    void givesUpTheHabitWithTheFirstEndThatIsStated() {
        record(ResponseFraming.CONNECTION, 2 * FramingHabit.MIN_RESPONSES);
        record(ResponseFraming.CHUNKS, 1);

        assertThat(habit.kind()).isEqualTo(FramingHabit.Kind.STATES_ENDS);
    }
}
