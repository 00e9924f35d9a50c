package org.kingcuproad.policy.placement;

/** A running average of load shares that the group returns to or drifts along with. */
final class LoadPattern {

    private final double[][] mean;
    private int samples;
    private int visits = 1;
    private double dwellSeconds;
    private long lastSeenMs;
    private double longestAbsenceSeconds;

    LoadPattern(double[][] shares, long nowMs) {
        mean = new double[shares.length][];
        for (int layer = 0; layer < shares.length; layer++) {
            mean[layer] = shares[layer].clone();
        }
        samples = 1;
        lastSeenMs = nowMs;
    }

    /** Returns the share of load that sits on other experts, averaged over the layers. */
    double distance(double[][] shares) {
        double sum = 0;
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                sum += Math.abs(mean[layer][expert] - shares[layer][expert]);
            }
        }
        return sum / (2 * mean.length);
    }

    /** Returns the root mean square deviation of a sample, relative to the load. */
    double deviation(double[][] shares) {
        double difference = 0;
        double square = 0;
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                double gap = mean[layer][expert] - shares[layer][expert];
                difference += gap * gap;
                square += mean[layer][expert] * mean[layer][expert];
            }
        }
        return Math.sqrt(difference / square);
    }

    void average(double[][] shares, double smoothing) {
        samples++;
        double alpha = Math.max(smoothing, 1.0 / samples);
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                mean[layer][expert] += alpha * (shares[layer][expert] - mean[layer][expert]);
            }
        }
    }

    void seen(long takenAtMs, double seconds, boolean returned) {
        if (returned) {
            visits++;
            longestAbsenceSeconds = Math.max(longestAbsenceSeconds, absenceSeconds(takenAtMs));
        }
        dwellSeconds += seconds;
        lastSeenMs = takenAtMs;
    }

    void fade(double factor) {
        dwellSeconds *= factor;
    }

    double absenceSeconds(long nowMs) {
        return (nowMs - lastSeenMs) / 1000.0;
    }

    /**
     * Returns the weight of the pattern in the outlook. A pattern that has come back before is expected again until it
     * stays away for much longer than before; one that has not is forgotten soon after it ends.
     */
    double weight(long nowMs, double forgetSeconds) {
        double absence = absenceSeconds(nowMs);
        double expected = visits > 1 ? 2 * longestAbsenceSeconds : 0;
        return dwellSeconds * Math.exp(-Math.max(0, absence - expected) / forgetSeconds);
    }

    double dwellSeconds() {
        return dwellSeconds;
    }

    /** Returns the variance of the mean as a share of the variance of one sample. */
    double varianceShare(double smoothing) {
        return Math.max(smoothing / (2 - smoothing), 1.0 / samples);
    }

    double[][] shares() {
        double[][] copy = new double[mean.length][];
        for (int layer = 0; layer < copy.length; layer++) {
            copy[layer] = mean[layer].clone();
        }
        return copy;
    }
}
