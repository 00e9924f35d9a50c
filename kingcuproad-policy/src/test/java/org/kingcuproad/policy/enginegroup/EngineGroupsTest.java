package org.kingcuproad.policy.enginegroup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests sent to stopped groups, and against outdated or single signs that stop a working one. */
class EngineGroupsTest {

    private final EngineGroups groups = new EngineGroups();

    private void report(int rank, long epoch, boolean open, long nowMs) {
        groups.onReport(
                "10.0.0." + rank, new GroupReport("g", epoch, rank, 3, open, false, 80, List.of("10.0.0.2")), nowMs);
    }

    private GroupStanding.Status status(long nowMs) {
        return groups.standing("10.0.0.2", nowMs).orElseThrow().status();
    }

    @BeforeEach
    void openGroup() {
        report(0, 4, true, 0);
    }

    @Test
    void isUnknownWithoutRecentReport() {
        assertThat(groups.standing("10.0.0.2", 1_500)).isPresent();
        assertThat(groups.standing("10.0.0.2", 1_501)).isEmpty();
        assertThat(groups.standing("10.0.0.9", 10)).isEmpty();
    }

    @Test
    void stopsWithReportOfAnyRankUntilNextEpoch() {
        report(7, 4, false, 100);
        report(0, 4, true, 150);
        assertThat(status(160)).isEqualTo(GroupStanding.Status.STOPPED);

        report(1, 5, true, 900);
        report(7, 4, false, 950);
        assertThat(status(960)).isEqualTo(GroupStanding.Status.RAMPING);
        assertThat(groups.standing("10.0.0.2", 960).orElseThrow().rampedLimit(7))
                .isEqualTo(1);

        report(1, 5, true, 2_300);
        assertThat(status(2_450)).isEqualTo(GroupStanding.Status.OPEN);
    }

    @Test
    void rampsUpGroupWhoseStopWasNotReported() {
        assertThat(status(10)).isEqualTo(GroupStanding.Status.OPEN);
        report(0, 5, true, 700);
        assertThat(status(710)).isEqualTo(GroupStanding.Status.RAMPING);
    }

    @Test
    void opensInSameEpochIfTheSignsWereWrong() {
        groups.onRankCrashed("10.0.0.2", 100);
        assertThat(status(110)).isEqualTo(GroupStanding.Status.STOPPED);

        report(0, 4, true, 600);
        assertThat(status(610)).isEqualTo(GroupStanding.Status.RAMPING);
    }

    @Test
    void stopsWithRejectionsOfTwoRanksWithoutProgress() {
        groups.onRejected("10.0.0.0", 100);
        groups.onRejected("10.0.0.0", 110);
        groups.onProgress("10.0.0.2", 120);
        groups.onRejected("10.0.0.2", 130);
        assertThat(status(140)).isEqualTo(GroupStanding.Status.OPEN);

        groups.onRejected("10.0.0.0", 150);
        assertThat(status(160)).isEqualTo(GroupStanding.Status.STOPPED);
    }

    @Test
    void repeatsReportsOfCoordinatingRanksOnly() {
        GroupReportSchedule coordinating = new GroupReportSchedule();
        GroupReportSchedule other = new GroupReportSchedule();
        int reports = 0;
        int others = 0;
        for (long nowMs = 0; nowMs < 7_000; nowMs += 100) {
            reports += coordinating.due(new GroupReport("g", 4, 1, 24, true, false, 80, List.of()), nowMs) ? 1 : 0;
            others += other.due(new GroupReport("g", 4, 2, 24, true, false, 80, List.of()), nowMs) ? 1 : 0;
        }
        assertThat(reports).isEqualTo(10);
        assertThat(others).isEqualTo(1);
    }
}
