package org.kingcuproad.policy.routing;

/** State that one entry keeps about one upstream. */
final class UpstreamState {

    /** Position of an upstream that is not in the list of available upstreams. */
    static final int ABSENT = -1;

    /** Age from which a report no longer represents the current load; agents report every second. */
    private static final long REPORT_EXPIRY_MS = 5_000;

    /**
     * Number of previous incarnations remembered, so that delayed reports of any of them are recognised as outdated.
     */
    private static final int PAST_INCARNATIONS = 4;

    private final int slot;
    private final Ejection ejection;
    private final LoadHistory history = new LoadHistory();
    private final DecayingMean firstTokenMs;
    private final long[] pastIncarnations = new long[PAST_INCARNATIONS];
    private RoutedUpstream upstream;
    private int pastIncarnationCount;
    private boolean reported;
    private long incarnation;
    private long sequence;
    private boolean leaving;
    private int reportedLoad;
    private int ownLoadAtReport;
    private long loadMeasuredMs;
    private int outstanding;

    /** Position in the group's list of all available upstreams. */
    private int position = ABSENT;

    /** Position in the group's list of available upstreams of the entry's own data centre. */
    private int localPosition = ABSENT;

    /** Load of this upstream that is included in the group's total load. */
    private double contributedLoad;

    private boolean removed;
    private boolean probing;

    UpstreamState(RoutedUpstream upstream, int slot, RouterSettings settings) {
        this.upstream = upstream;
        this.slot = slot;
        this.ejection = new Ejection(settings);
        this.firstTokenMs = new DecayingMean(settings.latencyWindowMs());
    }

    /**
     * Applies a report unless it is outdated.
     *
     * @param report the report
     * @param nowMs current time, in milliseconds
     * @return whether the report was applied
     */
    boolean accept(LoadReport report, long nowMs) {
        if (isOutdated(report)) {
            return false;
        }
        if (reported && report.incarnation() != incarnation) {
            pastIncarnations[pastIncarnationCount++ % PAST_INCARNATIONS] = incarnation;
            leaving = false;
        }
        reported = true;
        incarnation = report.incarnation();
        sequence = report.sequence();
        leaving |= report.leaving();
        reportedLoad = report.inFlight() + report.queued();
        loadMeasuredMs = nowMs - report.loadAgeMs();
        ownLoadAtReport = history.outstandingAt(loadMeasuredMs);
        return true;
    }

    private boolean isOutdated(LoadReport report) {
        if (!reported) {
            return false;
        }
        if (report.incarnation() == incarnation) {
            return report.sequence() <= sequence;
        }
        for (int index = 0; index < Math.min(pastIncarnationCount, PAST_INCARNATIONS); index++) {
            if (pastIncarnations[index] == report.incarnation()) {
                return true;
            }
        }
        return false;
    }

    void dispatched(long nowMs) {
        outstanding++;
        history.set(nowMs, outstanding);
    }

    void finished(long nowMs) {
        outstanding = Math.max(0, outstanding - 1);
        history.set(nowMs, outstanding);
    }

    /**
     * Estimates the load as the last reported load plus the change in outstanding requests since it was measured. The
     * entry knows only its own part of this change and scales it up to that of all entries.
     *
     * @param nowMs current time, in milliseconds
     * @param peerFactor load of all entries as a multiple of this entry's load
     * @return estimated number of requests at the upstream, at least this entry's own outstanding requests
     */
    double load(long nowMs, double peerFactor) {
        if (!reported || nowMs - loadMeasuredMs > REPORT_EXPIRY_MS) {
            return outstanding;
        }
        return Math.max(outstanding, reportedLoad + peerFactor * (outstanding - ownLoadAtReport));
    }

    RoutedUpstream upstream() {
        return upstream;
    }

    void setUpstream(RoutedUpstream value) {
        upstream = value;
    }

    int slot() {
        return slot;
    }

    int capacity() {
        return upstream.maxConcurrent();
    }

    Ejection ejection() {
        return ejection;
    }

    DecayingMean firstTokenMs() {
        return firstTokenMs;
    }

    boolean leaving() {
        return leaving;
    }

    int reportedLoad() {
        return reportedLoad;
    }

    int ownLoadAtReport() {
        return ownLoadAtReport;
    }

    int outstanding() {
        return outstanding;
    }

    boolean available() {
        return position != ABSENT;
    }

    int position() {
        return position;
    }

    void setPosition(int value) {
        position = value;
    }

    int localPosition() {
        return localPosition;
    }

    void setLocalPosition(int value) {
        localPosition = value;
    }

    double contributedLoad() {
        return contributedLoad;
    }

    void setContributedLoad(double value) {
        contributedLoad = value;
    }

    boolean removed() {
        return removed;
    }

    void setRemoved() {
        removed = true;
    }

    boolean probing() {
        return probing;
    }

    void setProbing(boolean value) {
        probing = value;
    }
}
