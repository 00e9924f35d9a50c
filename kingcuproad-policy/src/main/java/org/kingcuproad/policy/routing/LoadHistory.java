package org.kingcuproad.policy.routing;

/**
 * Number of this entry's outstanding requests at one upstream over the last four seconds.
 *
 * <p>A load report describes a past moment. The history gives the number of requests that the entry itself had
 * outstanding then, so that the change since can be added to the reported load. Four seconds cover reports that are
 * sent every second and arrive two seconds late.
 */
final class LoadHistory {

    private static final int BUCKETS = 64;
    private static final long BUCKET_MS = 64;

    private final int[] outstandingByBucket = new int[BUCKETS];
    private long lastBucket = Long.MIN_VALUE;

    /**
     * Records the number of outstanding requests from this time on.
     *
     * @param nowMs current time, in milliseconds
     * @param outstanding number of outstanding requests
     */
    void set(long nowMs, int outstanding) {
        long bucket = Math.floorDiv(nowMs, BUCKET_MS);
        if (lastBucket == Long.MIN_VALUE) {
            lastBucket = bucket;
        }
        if (bucket > lastBucket) {
            int previous = outstandingByBucket[index(lastBucket)];
            for (long missedBucket = Math.max(lastBucket + 1, bucket - BUCKETS + 1);
                    missedBucket < bucket;
                    missedBucket++) {
                outstandingByBucket[index(missedBucket)] = previous;
            }
            lastBucket = bucket;
        }
        outstandingByBucket[index(lastBucket)] = outstanding;
    }

    /**
     * Returns the number of outstanding requests at a past time.
     *
     * @param timeMs a time in the past, in milliseconds
     * @return the number at the end of the bucket that contains the time, or of the oldest bucket if the time precedes
     *     it
     */
    int outstandingAt(long timeMs) {
        if (lastBucket == Long.MIN_VALUE) {
            return 0;
        }
        long bucket = Math.floorDiv(timeMs, BUCKET_MS);
        long clampedBucket = Math.max(lastBucket - BUCKETS + 1, Math.min(lastBucket, bucket));
        return outstandingByBucket[index(clampedBucket)];
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
