package org.kingcuproad.experiment.lockstep;

import java.util.Locale;

/**
 * What callers got.
 *
 * @param asked requests, those sent again not counted
 * @param onTime complete streams with their first event and every pause within the goal
 * @param late complete streams beside those
 * @param refused requests refused at their last try
 * @param abandoned requests whose callers left
 * @param seconds length of the run
 */
public record LockstepResult(int asked, int onTime, int late, int refused, int abandoned, double seconds) {

    /** Part of its worth that a late answer still has, from the users' sheet. */
    private static final double LATE_WORTH = 0.5;

    /**
     * Returns the worth of the answers, an answer on time counting 1.
     *
     * @return worth a second
     */
    public double goodput() {
        return (onTime + LATE_WORTH * late) / seconds;
    }

    /**
     * Returns the result as a line of a CSV file.
     *
     * @return counts and goodput
     */
    public String csv() {
        return String.format(Locale.ROOT, "%d,%d,%d,%d,%d,%.2f", asked, onTime, late, refused, abandoned, goodput());
    }
}
