package org.kingcuproad.policy.lockstep;

/**
 * What the experts of a group cost and how much of its work they do.
 *
 * @param megabytes size of one expert, in megabytes
 * @param linkMbps bandwidth at which a rank copies experts, in megabits per second
 * @param workShare share of the work for tokens that experts do, from 0 to 1
 */
public record ExpertCosts(double megabytes, double linkMbps, double workShare) {

    /** Costs of a group that doesn't state them: copies are free, and experts do all the work. */
    public static final ExpertCosts FREE = new ExpertCosts(0, 1, 1);

    private static final double BITS_PER_BYTE = 8;
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns the time that a rank needs to copy one expert.
     *
     * @return the time in milliseconds
     */
    public double copyMs() {
        return megabytes * BITS_PER_BYTE * MS_PER_SECOND / linkMbps;
    }
}
