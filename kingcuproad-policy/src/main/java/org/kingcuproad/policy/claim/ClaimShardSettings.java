package org.kingcuproad.policy.claim;

/**
 * Identity and limits of a claim shard at one agent.
 *
 * @param environment name of the environment
 * @param shard number of the shard
 * @param upstream upstream of the agent
 * @param incarnation incarnation of the agent, which marks its claims
 * @param retentionMs time for which a claim is kept, in milliseconds
 * @param segmentBytes size at which a segment is sealed, in bytes
 * @param segmentAgeMs age at which a segment is sealed, in milliseconds
 */
public record ClaimShardSettings(
        String environment,
        int shard,
        String upstream,
        long incarnation,
        long retentionMs,
        int segmentBytes,
        long segmentAgeMs) {

    /**
     * Size at which a segment is sealed, in bytes. Every append rewrites the last segment: at 34 requests/s, 256 KiB
     * segments cause 1.0 MB/s of writes and 64 KiB segments 0.27 MB/s. With smaller segments, a new owner has to read
     * more objects.
     */
    public static final int SEGMENT_BYTES = 64 * 1024;

    /** Age at which a segment is sealed, in milliseconds, so that expiry removes claims in steps of one minute. */
    public static final long SEGMENT_AGE_MS = 60_000;

    /**
     * Creates settings with the default segment size and age.
     *
     * @param environment name of the environment
     * @param shard number of the shard
     * @param upstream upstream of the agent
     * @param incarnation incarnation of the agent
     * @param retentionSeconds time for which a claim is kept, in seconds
     * @return the settings
     */
    public static ClaimShardSettings of(
            String environment, int shard, String upstream, long incarnation, int retentionSeconds) {
        return new ClaimShardSettings(
                environment, shard, upstream, incarnation, retentionSeconds * 1_000L, SEGMENT_BYTES, SEGMENT_AGE_MS);
    }

    /**
     * Returns the prefix of the object keys of the log.
     *
     * @return the prefix, which ends in a slash
     */
    public String prefix() {
        return "claims/" + environment + "/" + shard + "/";
    }

    String objectKey(long sequence) {
        return prefix() + String.format("%012d", sequence);
    }

    long sequenceOf(String objectKey) {
        return Long.parseLong(objectKey.substring(prefix().length()));
    }
}
