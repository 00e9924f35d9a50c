package org.kingcuproad.experiment.lockstep;

/** What the callers of one kind, workspace or size got. */
final class CallerTally {

    /** A late response is worth 0.3 to 0.5 of one on time. */
    private static final double LATE_WORTH = 0.4;

    private int asked;
    private int onTime;
    private int late;
    private double value;
    private double credit;

    void onAsked(CallerKind kind) {
        asked++;
        value += kind.value();
    }

    void onComplete(CallerKind kind, boolean wasLate) {
        if (wasLate) {
            late++;
        } else {
            onTime++;
        }
        credit += kind.value() * (wasLate ? LATE_WORTH : 1);
    }

    int asked() {
        return asked;
    }

    int onTime() {
        return onTime;
    }

    int late() {
        return late;
    }

    double credit() {
        return credit;
    }

    /** Returns the share of the requests that were served. */
    double servedShare() {
        return (double) (onTime + late) / asked;
    }

    /** Returns the share of the possible credit that was earned. */
    double earnedShare() {
        return credit / value;
    }
}
