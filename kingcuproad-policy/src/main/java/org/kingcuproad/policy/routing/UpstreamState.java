package org.kingcuproad.policy.routing;

/** What one entry knows about one upstream. */
final class UpstreamState {

    /** Position of a state that is not in a list of available upstreams. */
    static final int ABSENT = -1;

    /** A report older than this says nothing about the present load; agents report every second. */
    private static final long REPORT_EXPIRY_MS = 5_000;

    /** Reports remembered incarnations back; a late report of any of these is recognised. */
    private static final int PAST_INCARNATIONS = 4;

    private final int slot;
    private final Ejection ejection;
    private final LoadHistory history = new LoadHistory();
    private final DecayingMean firstTokenMs;
    private final long[] pastIncarnations = new long[PAST_INCARNATIONS];
    private RoutedUpstream upstream;
    private int pastCount;
    private boolean reported;
    private long incarnation;
    private long sequence;
    private boolean leaving;
    private int reportedLoad;
    private int ownAtReport;
    private long reportTakenMs;
    private int outstanding;

    /** Position in the group's list of all available upstreams. */
    private int position = ABSENT;

    /** Position in the group's list of available upstreams of the entry's own data centre. */
    private int localPosition = ABSENT;

    /** The load that the group's sum contains for this upstream. */
    private double countedLoad;

    private boolean removed;
    private boolean probing;

    UpstreamState(RoutedUpstream upstream, int slot, RouterSettings settings) {
        this.upstream = upstream;
        this.slot = slot;
        this.ejection = new Ejection(settings);
        this.firstTokenMs = new DecayingMean(settings.latencyWindowMs());
    }

    /**
     * Takes a report unless it is late.
     *
     * @param report the report
     * @param nowMs current time, in milliseconds
     * @return whether the report is newer than what is known
     */
    boolean accept(LoadReport report, long nowMs) {
        if (isLate(report)) {
            return false;
        }
        if (reported && report.incarnation() != incarnation) {
            pastIncarnations[pastCount++ % PAST_INCARNATIONS] = incarnation;
            leaving = false;
        }
        reported = true;
        incarnation = report.incarnation();
        sequence = report.sequence();
        leaving |= report.leaving();
        reportedLoad = report.inFlight() + report.queued();
        reportTakenMs = nowMs - report.loadAgeMs();
        ownAtReport = history.at(reportTakenMs);
        return true;
    }

    private boolean isLate(LoadReport report) {
        if (!reported) {
            return false;
        }
        if (report.incarnation() == incarnation) {
            return report.sequence() <= sequence;
        }
        for (int past = 0; past < Math.min(pastCount, PAST_INCARNATIONS); past++) {
            if (pastIncarnations[past] == report.incarnation()) {
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
     * Estimates the load: the last report, plus what was dispatched and minus what was finished since the report was
     * taken. The entry knows its own part of this change and scales it up to that of all entries.
     *
     * @param nowMs current time, in milliseconds
     * @param peerFactor load of all entries as a multiple of this entry's
     * @return estimated requests on the upstream, never fewer than this entry's own
     */
    double load(long nowMs, double peerFactor) {
        if (!reported || nowMs - reportTakenMs > REPORT_EXPIRY_MS) {
            return outstanding;
        }
        return Math.max(outstanding, reportedLoad + peerFactor * (outstanding - ownAtReport));
    }

    RoutedUpstream upstream() {
        return upstream;
    }

    void setUpstream(RoutedUpstream changed) {
        upstream = changed;
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

    int ownAtReport() {
        return ownAtReport;
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

    void setPosition(int changed) {
        position = changed;
    }

    int localPosition() {
        return localPosition;
    }

    void setLocalPosition(int changed) {
        localPosition = changed;
    }

    double countedLoad() {
        return countedLoad;
    }

    void setCountedLoad(double changed) {
        countedLoad = changed;
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

    void setProbing(boolean changed) {
        probing = changed;
    }
}
