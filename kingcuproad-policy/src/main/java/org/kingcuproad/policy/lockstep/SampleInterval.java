package org.kingcuproad.policy.lockstep;

/**
 * Interval at which ranks send choice samples, and the number of agents that collect them for rank 0, chosen so that
 * the samples of all ranks fit into the links.
 */
public final class SampleInterval {

    /** At this interval, a shift of popularity, which lasts some seconds, is visible after two or three samples. */
    private static final long MIN_INTERVAL_MS = 200;

    /**
     * Share of the link bandwidth of rank 0 that samples of all ranks may take; states and desired states need the
     * rest.
     */
    private static final double LINK_SHARE = 0.25;

    /** Bytes of a sample's datagram besides the packed counts: IP and UDP headers and the name of the group. */
    private static final int DATAGRAM_OVERHEAD_BYTES = 64;

    private static final double BITS_PER_MS_PER_MBPS = 1_000;

    /** Counters that an agent reads in a millisecond of the interval, so that reading them takes few percent. */
    private static final int COUNTERS_PER_MS = 10;

    /** Largest group whose ranks all send their samples to rank 0. */
    private static final int MAX_DIRECT_RANKS = 32;

    private SampleInterval() {}

    /**
     * Computes the interval from the size of a sample and the number of ranks.
     *
     * @param shape dimensions of the group
     * @param ranks number of ranks
     * @param linkMbps link bandwidth of a rank's VM, in megabits per second
     * @return time between two samples of a rank, in milliseconds, at least 200
     */
    public static long intervalMs(GroupShape shape, int ranks, double linkMbps) {
        int counters = shape.sets() * shape.expertsPerSet();
        int datagramBytes =
                ChoiceSample.packedBytes(counters, ChoiceSampler.bitsPerCounter(counters)) + DATAGRAM_OVERHEAD_BYTES;
        int collectors = collectors(ranks);
        int samplesAtOneAgent = collectors == 0 ? ranks : Math.max(collectors, Math.ceilDiv(ranks, collectors));
        double totalBits = (double) datagramBytes * Byte.SIZE * samplesAtOneAgent;
        long transferMs = Math.round(totalBits / (LINK_SHARE * linkMbps * BITS_PER_MS_PER_MBPS));
        return Math.max(Math.max(MIN_INTERVAL_MS, counters / COUNTERS_PER_MS), transferMs);
    }

    /**
     * Returns the number of agents that collect the samples of others.
     *
     * @param ranks number of ranks
     * @return the number, 0 if all ranks send their samples to rank 0; else about the square root, so that rank 0 and a
     *     collector receive the same number of samples
     */
    public static int collectors(int ranks) {
        return ranks <= MAX_DIRECT_RANKS ? 0 : (int) Math.ceil(Math.sqrt(ranks));
    }
}
