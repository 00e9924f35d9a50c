package org.kingcuproad.policy.enginegroup;

import org.jspecify.annotations.Nullable;

/**
 * Decides when the agent of a rank reports its group to the gateways.
 *
 * <p>This handles large deployments: reports of all 72 agents to 15 gateways once a second would be a thousand
 * datagrams a second. Only the coordinating ranks repeat theirs, and list the other members; the other ranks report
 * when their state has changed, and while the group is broken, since the coordinating ranks may be the broken ones.
 */
public final class GroupReportSchedule {

    /** Interval of repeated reports; two are sent before the information of a gateway expires. */
    private static final long REPEAT_MS = 700;

    /** Interval of the reports of other ranks while the group is broken. */
    private static final long BROKEN_REPEAT_MS = 1_000;

    /** Minimum interval of reports about a different duration of passes or about copies. */
    private static final long CHANGE_MS = 200;

    /** Ratio by which the duration of passes must differ from the last report to be reported early. */
    private static final double PASS_CHANGE_RATIO = 1.25;

    private @Nullable GroupReport last;
    private long lastMs;

    /** Creates a schedule of an agent that has not reported anything. */
    public GroupReportSchedule() {}

    /**
     * Decides whether a report is sent.
     *
     * @param report what the agent can report
     * @param nowMs current time, in milliseconds
     * @return whether it is sent now
     */
    public boolean due(GroupReport report, long nowMs) {
        GroupReport previous = last;
        boolean due = previous == null || stateChanged(previous, report) || repeated(previous, report, nowMs - lastMs);
        if (due) {
            last = report;
            lastMs = nowMs;
        }
        return due;
    }

    private static boolean repeated(GroupReport previous, GroupReport report, long elapsedMs) {
        if (!report.coordinating()) {
            return !report.open() && elapsedMs >= BROKEN_REPEAT_MS;
        }
        return elapsedMs >= REPEAT_MS || (elapsedMs >= CHANGE_MS && paceChanged(previous, report));
    }

    private static boolean stateChanged(GroupReport previous, GroupReport report) {
        return !previous.group().equals(report.group())
                || previous.epoch() != report.epoch()
                || previous.rank() != report.rank()
                || previous.open() != report.open();
    }

    private static boolean paceChanged(GroupReport previous, GroupReport report) {
        double longer = Math.max(previous.passMs(), report.passMs());
        double shorter = Math.min(previous.passMs(), report.passMs());
        return previous.copying() != report.copying() || longer > PASS_CHANGE_RATIO * shorter;
    }
}
