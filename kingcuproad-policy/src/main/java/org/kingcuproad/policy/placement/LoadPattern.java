package org.kingcuproad.policy.placement;

/** Running average of the load shares of a recurring or slowly drifting load. */
final class LoadPattern {

    private final double[][] mean;
    private int samples;
    private int occurrences = 1;
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

    /** Returns the share of load that is on other experts than in the pattern, averaged over the layers. */
    double distance(double[][] shares) {
        double sum = 0;
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                sum += Math.abs(mean[layer][expert] - shares[layer][expert]);
            }
        }
        return sum / (2 * mean.length);
    }

    /** Returns the root mean square deviation of a sample from the pattern, relative to the root mean square load. */
    double deviation(double[][] shares) {
        double squaredDifference = 0;
        double squaredMean = 0;
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                double gap = mean[layer][expert] - shares[layer][expert];
                squaredDifference += gap * gap;
                squaredMean += mean[layer][expert] * mean[layer][expert];
            }
        }
        return Math.sqrt(squaredDifference / squaredMean);
    }

    void updateMean(double[][] shares, double smoothing) {
        samples++;
        double alpha = Math.max(smoothing, 1.0 / samples);
        for (int layer = 0; layer < mean.length; layer++) {
            for (int expert = 0; expert < mean[layer].length; expert++) {
                mean[layer][expert] += alpha * (shares[layer][expert] - mean[layer][expert]);
            }
        }
    }

    void recordSample(long takenAtMs, double seconds, boolean returned) {
        if (returned) {
            occurrences++;
            longestAbsenceSeconds = Math.max(longestAbsenceSeconds, absenceSeconds(takenAtMs));
        }
        dwellSeconds += seconds;
        lastSeenMs = takenAtMs;
    }

    void decay(double factor) {
        dwellSeconds *= factor;
    }

    double absenceSeconds(long nowMs) {
        return (nowMs - lastSeenMs) / 1000.0;
    }

    /**
     * Returns the weight of the pattern in the forecast. A pattern that has recurred keeps its weight until it has been
     * absent for twice its longest absence so far; one that has not recurred keeps it only until it ends. After that,
     * the weight decays with the given time constant.
     */
    double weight(long nowMs, double absenceDecaySeconds) {
        double absence = absenceSeconds(nowMs);
        double expectedAbsence = occurrences > 1 ? 2 * longestAbsenceSeconds : 0;
        return dwellSeconds * Math.exp(-Math.max(0, absence - expectedAbsence) / absenceDecaySeconds);
    }

    double dwellSeconds() {
        return dwellSeconds;
    }

    /** Returns the variance of the mean, as a share of the variance of one sample. */
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
