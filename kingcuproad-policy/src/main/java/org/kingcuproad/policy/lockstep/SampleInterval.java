package org.kingcuproad.policy.lockstep;

/** How often the ranks of a group tell rank 0 what was chosen, so that the samples of all fit into its link. */
public final class SampleInterval {

    /** A shift of popularity shows in two or three samples, well within its length of some seconds. */
    private static final long LEAST_MS = 200;

    /** Part of the link of rank 0 that samples of all ranks may take; states and wishes need the rest. */
    private static final double LINK_SHARE = 0.25;

    /** Bytes of a sample's datagram beside its numbers: headers of IP and UDP, name of the group. */
    private static final int OVERHEAD_BYTES = 64;

    private static final double BITS_A_MS_PER_MBPS = 1_000;

    private SampleInterval() {}

    /**
     * Computes the interval.
     *
     * @param shape shape of the group
     * @param ranks number of ranks
     * @param linkMbps bandwidth of a rank's VM, in megabits a second
     * @return time between two samples of a rank, in milliseconds
     */
    public static long ofMs(GroupShape shape, int ranks, double linkMbps) {
        int counters = shape.sets() * shape.experts();
        int bytes = ChoiceSample.packedBytes(counters, ChoiceSampler.bits(counters)) + OVERHEAD_BYTES;
        double bitsOfAll = (double) bytes * Byte.SIZE * ranks;
        return Math.max(LEAST_MS, Math.round(bitsOfAll / (LINK_SHARE * linkMbps * BITS_A_MS_PER_MBPS)));
    }
}
