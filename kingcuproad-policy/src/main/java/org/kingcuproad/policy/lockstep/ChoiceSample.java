package org.kingcuproad.policy.lockstep;

/**
 * Number of times that a rank's requests chose each expert since its last sample, packed to fit into a datagram.
 *
 * <p>A count is the packed number times two to the power of the scale. The remainder lost to scaling is carried over to
 * the next sample of the rank, so sums over several samples are accurate. A lost sample only reduces the weight of the
 * rank for a moment.
 *
 * @param counterCount number of counters of a rank
 * @param scale exponent of the power of two by which the packed numbers are multiplied
 * @param bitsPerCounter bits of each packed number, 4 or 8
 * @param packed the packed numbers; of two 4-bit numbers in a byte, the first is in the lower half
 */
@SuppressWarnings("ArrayRecordComponent")
public record ChoiceSample(int counterCount, int scale, int bitsPerCounter, byte[] packed) {

    private static final int BYTE_BITS = 8;
    private static final int NIBBLE_BITS = 4;
    private static final int NIBBLE_MASK = 0xf;
    private static final int BYTE_MASK = 0xff;

    /**
     * Returns the number of bytes that the packed numbers need.
     *
     * @param counterCount number of counters
     * @param bitsPerCounter bits of each number
     * @return the number of bytes
     */
    public static int packedBytes(int counterCount, int bitsPerCounter) {
        return (counterCount * bitsPerCounter + BYTE_BITS - 1) / BYTE_BITS;
    }

    /**
     * Returns how often an expert was chosen, unpacked.
     *
     * @param index index among all counters of the rank
     * @return choices since the last sample, rounded down to a multiple of two to the power of the scale
     */
    public long choices(int index) {
        int unit = bitsPerCounter == BYTE_BITS
                ? packed[index] & BYTE_MASK
                : (packed[index / 2] >> (index % 2 == 0 ? 0 : NIBBLE_BITS)) & NIBBLE_MASK;
        return (long) unit << scale;
    }
}
