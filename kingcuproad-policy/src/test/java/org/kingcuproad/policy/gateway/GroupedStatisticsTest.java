package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.enginegroup.GroupStanding;

/** Guards against requests refused because of means that include a stopped group. */
class GroupedStatisticsTest {

    private static final GroupStanding STOPPED = new GroupStanding("a", GroupStanding.Status.STOPPED, 0, 80, false);

    private final GroupedStatistics statistics = new GroupedStatistics();

    private void record(GroupStanding group, double intervalMs) {
        for (int sample = 0; sample < 200; sample++) {
            for (ServiceStatistics updated : List.of(
                    statistics.service(), statistics.ofGroup(Optional.of(group)).orElseThrow())) {
                updated.onEventInterval(intervalMs);
                updated.onSlotReleased(Math.round(sample * intervalMs));
                updated.onEvent(20_000);
            }
        }
    }

    @Test
    void refusesNoStreamThatOtherGroupsCanServe() {
        GroupStanding other = new GroupStanding("b", GroupStanding.Status.OPEN, 1, 80, false);
        record(other, 80);
        record(new GroupStanding("a", GroupStanding.Status.OPEN, 1, 80, false), 900);

        assertThat(StreamAdmissionDecision.of(23, statistics.service(), 8_000, 20_000)
                        .refused())
                .isTrue();
        ServiceStatistics standing = statistics.standing(List.of(STOPPED, other));
        assertThat(StreamAdmissionDecision.of(23, standing, 8_000, 20_000).refused())
                .isFalse();
        assertThat(standing.expectedWaitMs(10)).isBetween(790L, 810L);
        assertThat(statistics.ofGroup(Optional.of(STOPPED))).isEmpty();
    }

    @Test
    void usesTheWholeServiceWhileGroupsAreUnknownOrAllAreStopped() {
        assertThat(statistics.standing(List.of())).isSameAs(statistics.service());
        assertThat(statistics.standing(List.of(STOPPED))).isSameAs(statistics.service());
    }
}
