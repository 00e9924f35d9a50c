package org.kingcuproad.policy.lockstep;

import java.util.Optional;

/**
 * Converts the cumulative expert counters of a rank into samples of its recent choices.
 *
 * <p>Rank 0 receives the samples of all ranks over a link of low bandwidth: with 63 ranks and 2,016 counters, sending
 * unpacked counters several times a second would need three times that bandwidth. A sample of such a rank takes 1 KB.
 */
public final class ChoiceSampler {

    /** Number of counters up to which each gets a whole byte in a sample; more would not fit into one packet. */
    private static final int MAX_BYTE_COUNTERS = 1_200;

    private static final int BYTE_BITS = 8;
    private static final int NIBBLE_BITS = 4;

    private long[] previousCounters = new long[0];
    private final ChoiceAccumulator unsent = new ChoiceAccumulator();

    /**
     * Returns the number of bits that a sample uses for each counter.
     *
     * @param counterCount number of counters
     * @return 4 or 8
     */
    public static int bitsPerCounter(int counterCount) {
        return counterCount <= MAX_BYTE_COUNTERS ? BYTE_BITS : NIBBLE_BITS;
    }

    /**
     * Returns the choices since the last call.
     *
     * @param counters choices by expert since the rank started
     * @return the sample, or empty on the first call and after a restart of the rank
     */
    public Optional<ChoiceSample> sample(long[] counters) {
        int counterCount = counters.length;
        boolean sameRun = previousCounters.length == counterCount;
        for (int index = 0; sameRun && index < counterCount; index++) {
            // A lower value means that the rank has restarted; it is unknown when the counted choices were made.
            sameRun = counters[index] >= previousCounters[index];
        }
        if (!sameRun) {
            previousCounters = counters.clone();
            unsent.clear();
            return Optional.empty();
        }
        unsent.addDifference(previousCounters, counters);
        previousCounters = counters.clone();
        return unsent.pack();
    }
}
