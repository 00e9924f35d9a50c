package org.kingcuproad.policy.lockstep;

import java.util.Arrays;

/**
 * Exponentially decayed counts of how often experts were chosen, from the samples of all ranks.
 *
 * <p>Older choices count less, since the popularity of experts can shift every few seconds. The accuracy of the counts
 * follows from how much the shares of the experts differ between samples, which come from different requests.
 */
public final class ExpertLoads {

    /** Share of the choices in one sample above which the samples are too few to show a variance. */
    private static final double MAX_SAMPLE_SHARE = 0.6;

    private final double halfLifeMs;
    private final int expertsPerSet;
    private double[] counts = new double[0];
    private double[] squares = new double[0];
    private double[] productsWithTotals = new double[0];
    private double[] squaredTotals = new double[0];
    private long lastDecayMs;

    /**
     * Creates loads without any choices.
     *
     * @param halfLifeMs time after which the weight of a choice is halved, in milliseconds
     * @param expertsPerSet number of experts in a set
     */
    public ExpertLoads(double halfLifeMs, int expertsPerSet) {
        this.halfLifeMs = halfLifeMs;
        this.expertsPerSet = expertsPerSet;
    }

    /**
     * Adds a sample of one or more ranks. A change in the number of counters discards all earlier choices.
     *
     * @param sample choices of the ranks' requests since the last sample
     * @param nowMs current time, in milliseconds
     */
    public void onSample(ChoiceSample sample, long nowMs) {
        if (counts.length != sample.counterCount()) {
            counts = new double[sample.counterCount()];
            squares = new double[sample.counterCount()];
            productsWithTotals = new double[sample.counterCount()];
            squaredTotals = new double[sample.counterCount() / expertsPerSet];
        }
        decay(nowMs);
        for (int set = 0; set < squaredTotals.length; set++) {
            addSet(sample, set);
        }
    }

    private void addSet(ChoiceSample sample, int set) {
        int first = set * expertsPerSet;
        double total = 0;
        for (int index = first; index < first + expertsPerSet; index++) {
            total += sample.choices(index);
        }
        squaredTotals[set] += total * total;
        for (int index = first; index < first + expertsPerSet; index++) {
            double choices = sample.choices(index);
            counts[index] += choices;
            squares[index] += choices * choices;
            productsWithTotals[index] += choices * total;
        }
    }

    /**
     * Returns the demand for the experts of one set. The variance of a count is what its share varies between samples;
     * that more or fewer requests arrive changes no share. A single sample shows no variance, so nothing is known about
     * its accuracy.
     *
     * @param set index of the set
     * @return the counts with their variances
     */
    public Demand demandOfSet(int set) {
        double[] setCounts = Arrays.copyOfRange(counts, set * expertsPerSet, (set + 1) * expertsPerSet);
        double total = Arrays.stream(setCounts).sum();
        double[] variances = new double[expertsPerSet];
        double sampleShare = total == 0 ? 1 : squaredTotals[set] / (total * total);
        for (int expert = 0; expert < expertsPerSet && total > 0; expert++) {
            int index = set * expertsPerSet + expert;
            double share = setCounts[expert] / total;
            double spread = squares[index] - 2 * share * productsWithTotals[index] + share * share * squaredTotals[set];
            variances[expert] = sampleShare > MAX_SAMPLE_SHARE
                    ? counts[index] * counts[index]
                    : Math.max(0, spread / (1 - sampleShare));
        }
        return new Demand(setCounts, variances);
    }

    /**
     * Returns the number of recent choices over all sets.
     *
     * @return the decayed number of choices
     */
    public double total() {
        return Arrays.stream(counts).sum();
    }

    private void decay(long nowMs) {
        double factor = Math.pow(0.5, (nowMs - lastDecayMs) / halfLifeMs);
        lastDecayMs = nowMs;
        scale(counts, factor);
        scale(squares, factor * factor);
        scale(productsWithTotals, factor * factor);
        scale(squaredTotals, factor * factor);
    }

    private static void scale(double[] values, double factor) {
        if (factor < 1) {
            for (int index = 0; index < values.length; index++) {
                values[index] *= factor;
            }
        }
    }
}
