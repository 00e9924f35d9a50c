package org.kingcuproad.policy.lockstep;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the demand for experts and how long it will last.
 *
 * <p>Popularity is steady for some time and then shifts for all sets at once. The estimate uses all choices since the
 * last shift, older ones with less weight: under steady demand it becomes more accurate. A shift is a difference
 * between the latest choices and the estimate, summed over all sets, that is larger than chance explains; the sum tells
 * it from chance after a few requests, when no single set does. With few requests a second the last choices always
 * differ from the estimate, because each request has favourites of its own. After a shift the estimate starts anew with
 * the latest samples, since a mixture of two patterns fits neither.
 *
 * <p>Not thread-safe.
 */
public final class DemandEstimator {

    /** Half-life of the choices that reveal a shift; one sample of each rank replaces most of the older ones. */
    private static final double RECENT_HALF_LIFE_MS = 100;

    /** Half-life of the estimate under steady demand. */
    private static final double STEADY_HALF_LIFE_MS = 4_000;

    /**
     * Difference between two patterns, as a part of how uneven they are, below which a shift is of no importance. A
     * window of which a third is from the new pattern exceeds it if most experts change their popularity.
     */
    private static final double MIN_DISTANCE = 0.1;

    /** Standard errors above which a difference is no chance; there are up to twenty checks a second. */
    private static final double MIN_DEVIATIONS = 9;

    /** Age of the oldest sample with which the estimate starts anew when a shift is found. */
    private static final long RESTART_AGE_MS = 120;

    /** Time after a shift in which a further detection refines the same shift. */
    private static final long SAME_SHIFT_MS = 900;

    /** Period over which shifts are counted; a pattern that lasts longer is as good as steady. */
    private static final long SHIFT_PERIOD_MS = 20_000;

    /** Length of a pattern that is assumed before any was seen. */
    private static final long ASSUMED_LIFETIME_MS = 4_000;

    /** Weight of that length, compared with a time between two shifts. */
    private static final double ASSUMED_WEIGHT = 0.5;

    private final GroupShape shape;
    private final ExpertLoads recent;
    private ExpertLoads sinceShift;
    private final Deque<TimedSample> latest = new ArrayDeque<>();
    private final Deque<Long> shiftsMs = new ArrayDeque<>();
    private long firstSampleMs = Long.MIN_VALUE;

    private record TimedSample(ChoiceSample sample, long receivedMs) {}

    /**
     * Creates an estimator without any samples.
     *
     * @param shape dimensions of the group
     */
    public DemandEstimator(GroupShape shape) {
        this.shape = shape;
        this.recent = new ExpertLoads(RECENT_HALF_LIFE_MS, shape.expertsPerSet());
        this.sinceShift = new ExpertLoads(STEADY_HALF_LIFE_MS, shape.expertsPerSet());
    }

    /**
     * Adds a sample of one or more ranks.
     *
     * @param sample choices of the rank's requests since its last sample
     * @param nowMs current time, in milliseconds
     */
    public void onSample(ChoiceSample sample, long nowMs) {
        firstSampleMs = firstSampleMs == Long.MIN_VALUE ? nowMs : firstSampleMs;
        recent.onSample(sample, nowMs);
        sinceShift.onSample(sample, nowMs);
        latest.addLast(new TimedSample(sample, nowMs));
        while (nowMs - latest.getFirst().receivedMs() > RESTART_AGE_MS) {
            latest.removeFirst();
        }
    }

    /**
     * Returns the number of the latest choices.
     *
     * @return the decayed number of choices over all sets
     */
    public double recentTotal() {
        return recent.total();
    }

    /**
     * Starts the estimate anew if popularity has shifted.
     *
     * @param nowMs current time, in milliseconds
     * @return whether a shift was found
     */
    public boolean detectShift(long nowMs) {
        if (!shifted()) {
            return false;
        }
        sinceShift = new ExpertLoads(STEADY_HALF_LIFE_MS, shape.expertsPerSet());
        latest.stream()
                .filter(timed -> nowMs - timed.receivedMs() <= RESTART_AGE_MS)
                .forEach(timed -> sinceShift.onSample(timed.sample(), timed.receivedMs()));
        Long last = shiftsMs.peekLast();
        if (last == null || nowMs - last > SAME_SHIFT_MS) {
            shiftsMs.addLast(nowMs);
        }
        return true;
    }

    /**
     * Compares the shares of the experts. The squared differences, less what chance contributes to them on average, are
     * zero without a shift, up to a standard error that follows from the variances.
     */
    private boolean shifted() {
        double distance = 0;
        double unevenness = 0;
        double errorVariance = 0;
        for (int set = 0; set < shape.sets(); set++) {
            Demand now = recent.demandOfSet(set);
            Demand before = sinceShift.demandOfSet(set);
            double nowTotal = now.total();
            double beforeTotal = before.total();
            if (nowTotal == 0 || beforeTotal == 0) {
                continue;
            }
            double mean = 1.0 / shape.expertsPerSet();
            for (int expert = 0; expert < shape.expertsPerSet(); expert++) {
                double nowShare = now.counts()[expert] / nowTotal;
                double beforeShare = before.counts()[expert] / beforeTotal;
                double variance = now.variances()[expert] / (nowTotal * nowTotal)
                        + before.variances()[expert] / (beforeTotal * beforeTotal);
                double difference = nowShare - beforeShare;
                distance += difference * difference - variance;
                unevenness += (beforeShare - mean) * (beforeShare - mean);
                errorVariance += 2 * variance * variance;
            }
        }
        return distance > MIN_DISTANCE * unevenness && distance > MIN_DEVIATIONS * Math.sqrt(errorVariance);
    }

    /**
     * Returns the estimated demand for the experts of one set.
     *
     * @param set index of the set
     * @return the demand since the last shift
     */
    public Demand demandOfSet(int set) {
        return sinceShift.demandOfSet(set);
    }

    /**
     * Returns how long the pattern is expected to last from now on: the mean of the last times between shifts, which is
     * the best guess if shifts come at any time. An assumed time counts as half a measured one, so that the first two
     * shifts decide; the time since the last shift counts if it exceeds the mean, so that the estimate grows when
     * shifts have ceased.
     *
     * @param nowMs current time, in milliseconds
     * @return the time in milliseconds
     */
    public long expectedLifetimeMs(long nowMs) {
        while (!shiftsMs.isEmpty() && nowMs - shiftsMs.peekFirst() > SHIFT_PERIOD_MS) {
            shiftsMs.removeFirst();
        }
        if (shiftsMs.isEmpty()) {
            long observedMs = firstSampleMs == Long.MIN_VALUE ? 0 : Math.min(SHIFT_PERIOD_MS, nowMs - firstSampleMs);
            return observedMs + ASSUMED_LIFETIME_MS;
        }
        int intervals = shiftsMs.size() - 1;
        double weight = intervals + ASSUMED_WEIGHT;
        double sumMs = shiftsMs.getLast() - shiftsMs.getFirst() + ASSUMED_WEIGHT * ASSUMED_LIFETIME_MS;
        return Math.round(Math.max(sumMs / weight, (sumMs + nowMs - shiftsMs.getLast()) / (weight + 1)));
    }
}
