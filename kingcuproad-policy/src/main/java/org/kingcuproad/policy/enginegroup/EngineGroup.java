package org.kingcuproad.policy.enginegroup;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of one lock-step group as one gateway knows it, from the reports of agents and from its own requests.
 *
 * <p>This handles a rank that crashes: all ranks of its group stop for seconds, and requests sent to any of them are
 * lost or rejected while other groups have capacity. When the group opens again, all its ranks are empty, and without a
 * ramp they would get all new prompts of the service at once.
 */
final class EngineGroup {

    /** Age up to which reports are used; coordinating ranks repeat theirs at least twice within this time. */
    static final long MAX_REPORT_AGE_MS = 1_500;

    /** Duration of the ramp. One stream takes 2 to 3 s, so slots are filled about as fast as streams would end. */
    static final long RAMP_MS = 1_500;

    /**
     * Time after a sign that the group has stopped in which an open report of the same epoch is taken for outdated;
     * agents read the state of their engines at least every 200 ms.
     */
    private static final long OUTDATED_OPEN_MS = 400;

    /**
     * Maximum time between rejections at two ranks that show a stopped group. One rank alone may reject requests for a
     * reason of its own; a group that runs passes makes progress several times within this time.
     */
    private static final long REJECTION_WINDOW_MS = 300;

    private final String name;
    private long epoch = Long.MIN_VALUE;
    private boolean open;
    private boolean copying;
    private double passMs;
    private long lastReportMs = Long.MIN_VALUE / 2;
    private long lastStopSignMs = Long.MIN_VALUE / 2;
    private long openedMs = Long.MIN_VALUE / 2;
    private @Nullable String rejectedHost;
    private long rejectedMs;

    EngineGroup(String name) {
        this.name = name;
    }

    void onReport(GroupReport report, long nowMs) {
        boolean first = epoch == Long.MIN_VALUE;
        boolean expired = nowMs - lastReportMs > MAX_REPORT_AGE_MS;
        if (report.epoch() < epoch && !expired) {
            return;
        }
        boolean outdated = report.epoch() == epoch && nowMs - lastStopSignMs < OUTDATED_OPEN_MS;
        lastReportMs = nowMs;
        if (!report.open()) {
            epoch = report.epoch();
            stop(nowMs);
            return;
        }
        if (!open && outdated) {
            return;
        }
        boolean formedAgain = report.epoch() > epoch;
        if (!first && (!open || formedAgain)) {
            openedMs = nowMs;
        }
        epoch = report.epoch();
        open = true;
        if (report.coordinating()) {
            copying = report.copying();
            passMs = report.passMs();
        }
    }

    /** Records that a process of the group has ended. */
    void onRankCrashed(long nowMs) {
        stop(nowMs);
    }

    /** Records that a rank answered that it did not run a request. */
    void onRejected(String host, long nowMs) {
        boolean confirmed =
                rejectedHost != null && !rejectedHost.equals(host) && nowMs - rejectedMs <= REJECTION_WINDOW_MS;
        if (confirmed || !open) {
            stop(nowMs);
        } else {
            rejectedHost = host;
            rejectedMs = nowMs;
        }
    }

    /** Records a response or an event of any rank, which shows that passes are run. */
    void onProgress() {
        rejectedHost = null;
    }

    private void stop(long nowMs) {
        open = false;
        copying = false;
        rejectedHost = null;
        lastStopSignMs = nowMs;
    }

    /** Returns the state, or empty if the last report is too old. */
    Optional<GroupStanding> standing(long nowMs) {
        if (nowMs - lastReportMs > MAX_REPORT_AGE_MS) {
            return Optional.empty();
        }
        if (!open) {
            return Optional.of(new GroupStanding(name, GroupStanding.Status.STOPPED, 0, passMs, false));
        }
        double openShare = Math.min(1.0, (nowMs - openedMs + 1.0) / RAMP_MS);
        return Optional.of(new GroupStanding(
                name,
                openShare < 1 ? GroupStanding.Status.RAMPING : GroupStanding.Status.OPEN,
                openShare,
                passMs,
                copying));
    }
}
