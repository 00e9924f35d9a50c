package org.kingcuproad.policy.lockstep;

/**
 * How often one rank's requests chose each expert since its last sample, in small numbers that fit into a datagram.
 *
 * <p>A choice count is the packed number times two to the power of the scale. What the scaling drops is carried over to
 * the next sample of the rank, so sums over several samples are right. A lost sample only makes the rank count less for
 * a moment.
 *
 * @param total number of counters of a rank
 * @param scale power of two that one unit stands for
 * @param bits bits of each packed number, 4 or 8
 * @param packed the numbers, the lower half of a byte first where two share one
 */
@SuppressWarnings("ArrayRecordComponent")
public record ChoiceSample(int total, int scale, int bits, byte[] packed) {

    private static final int BYTE_BITS = 8;
    private static final int HALF_BITS = 4;
    private static final int HALF_MASK = 0xf;
    private static final int BYTE_MASK = 0xff;

    /**
     * Returns the number of bytes that the packed numbers need.
     *
     * @param total number of counters
     * @param bits bits of each number
     * @return the number of bytes
     */
    public static int packedBytes(int total, int bits) {
        return (total * bits + BYTE_BITS - 1) / BYTE_BITS;
    }

    /**
     * Returns a count.
     *
     * @param at position among all counters of the rank
     * @return choices since the last sample, in steps of the scale
     */
    public long choices(int at) {
        int unit = bits == BYTE_BITS
                ? packed[at] & BYTE_MASK
                : (packed[at / 2] >> (at % 2 == 0 ? 0 : HALF_BITS)) & HALF_MASK;
        return (long) unit << scale;
    }
}
