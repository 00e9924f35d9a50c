package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.Optional;

/**
 * Turns the counters that a rank keeps since its start into samples of its recent choices.
 *
 * <p>Rank 0 receives the samples of all ranks over a narrow link: with 63 ranks and 2,016 counters, whole counters
 * several times a second would need three times the link. A sample of such a rank takes 1 KB.
 */
public final class ChoiceSampler {

    /** Counters up to which a sample has a whole byte for each; more would not fit into one packet. */
    private static final int MOST_WITH_BYTES = 1_200;

    private static final int BYTE_BITS = 8;
    private static final int HALF_BITS = 4;

    private long[] known = new long[0];
    private long[] unsent = new long[0];

    /**
     * Returns how many bits a sample has for each counter.
     *
     * @param total number of counters
     * @return 4 or 8
     */
    public static int bits(int total) {
        return total <= MOST_WITH_BYTES ? BYTE_BITS : HALF_BITS;
    }

    /**
     * Takes the counters of the rank and returns what was chosen since the last call.
     *
     * @param counters choices since the rank's start
     * @return the sample, or empty at the first call and after the rank has started again
     */
    public Optional<ChoiceSample> sample(long[] counters) {
        int total = counters.length;
        boolean continued = known.length == total;
        for (int at = 0; continued && at < total; at++) {
            // A lower value means that the rank started again; the choices before can't be dated.
            continued = counters[at] >= known[at];
        }
        if (!continued) {
            known = counters.clone();
            unsent = new long[total];
            return Optional.empty();
        }
        for (int at = 0; at < total; at++) {
            unsent[at] += counters[at] - known[at];
        }
        known = counters.clone();
        return Optional.of(pack(total));
    }

    private ChoiceSample pack(int total) {
        int bits = bits(total);
        long largest = Arrays.stream(unsent).max().orElse(0);
        int scale = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(largest) - bits);
        byte[] packed = new byte[ChoiceSample.packedBytes(total, bits)];
        for (int at = 0; at < total; at++) {
            long unit = unsent[at] >> scale;
            unsent[at] -= unit << scale;
            int position = bits == BYTE_BITS ? at : at / 2;
            packed[position] |= (byte) (unit << (bits == HALF_BITS && at % 2 == 1 ? HALF_BITS : 0));
        }
        return new ChoiceSample(total, scale, bits, packed);
    }
}
