package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.Optional;

/**
 * Sums choices and packs them into samples. What a packed number rounds off is carried over to the next sample.
 *
 * <p>In a large group some agents collect the samples of others and send the sum to rank 0, whose link and processor
 * would otherwise be filled by the samples of all ranks.
 */
public final class ChoiceAccumulator {

    private static final int BYTE_BITS = 8;
    private static final int NIBBLE_BITS = 4;

    private long[] unsent = new long[0];

    /**
     * Adds a sample. A change in the number of counters discards all earlier choices.
     *
     * @param sample choices of one or more ranks
     */
    public void add(ChoiceSample sample) {
        resize(sample.counterCount());
        for (int index = 0; index < unsent.length; index++) {
            unsent[index] += sample.choices(index);
        }
    }

    /**
     * Adds the differences between two readings of counters.
     *
     * @param before earlier reading
     * @param after later reading, of the same length
     */
    void addDifference(long[] before, long[] after) {
        resize(after.length);
        for (int index = 0; index < after.length; index++) {
            unsent[index] += after[index] - before[index];
        }
    }

    /** Discards all choices. */
    public void clear() {
        unsent = new long[0];
    }

    private void resize(int counterCount) {
        if (unsent.length != counterCount) {
            unsent = new long[counterCount];
        }
    }

    /**
     * Packs the choices that were not sent yet.
     *
     * @return the sample, or empty if nothing was added since the last {@link #clear}
     */
    public Optional<ChoiceSample> pack() {
        int counterCount = unsent.length;
        if (counterCount == 0) {
            return Optional.empty();
        }
        int bitsPerCounter = ChoiceSampler.bitsPerCounter(counterCount);
        long largest = Arrays.stream(unsent).max().orElse(0);
        int scale = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(largest) - bitsPerCounter);
        byte[] packed = new byte[ChoiceSample.packedBytes(counterCount, bitsPerCounter)];
        for (int index = 0; index < counterCount; index++) {
            long unit = unsent[index] >> scale;
            unsent[index] -= unit << scale;
            int position = bitsPerCounter == BYTE_BITS ? index : index / 2;
            packed[position] |= (byte) (unit << (bitsPerCounter == NIBBLE_BITS && index % 2 == 1 ? NIBBLE_BITS : 0));
        }
        return Optional.of(new ChoiceSample(counterCount, scale, bitsPerCounter, packed));
    }
}
