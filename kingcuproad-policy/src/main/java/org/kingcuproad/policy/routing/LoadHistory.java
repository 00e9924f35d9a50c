package org.kingcuproad.policy.routing;

/**
 * The entry's own outstanding requests at one upstream over the last four seconds.
 *
 * <p>A load report describes a moment in the past; the history gives what the entry itself had outstanding then, so
 * that the difference to now can be added to the report. Four seconds cover reports that are sent every second and lag
 * by two.
 */
final class LoadHistory {

    private static final int BUCKETS = 64;
    private static final long BUCKET_MS = 64;

    private final int[] values = new int[BUCKETS];
    private long lastBucket = Long.MIN_VALUE;

    /**
     * Notes the number of outstanding requests.
     *
     * @param nowMs current time, in milliseconds
     * @param outstanding the number from now on
     */
    void set(long nowMs, int outstanding) {
        long bucket = Math.floorDiv(nowMs, BUCKET_MS);
        if (lastBucket == Long.MIN_VALUE) {
            lastBucket = bucket;
        }
        if (bucket > lastBucket) {
            int previous = values[index(lastBucket)];
            for (long fill = Math.max(lastBucket + 1, bucket - BUCKETS + 1); fill < bucket; fill++) {
                values[index(fill)] = previous;
            }
            lastBucket = bucket;
        }
        values[index(lastBucket)] = outstanding;
    }

    /**
     * Returns the number of outstanding requests at a time.
     *
     * @param timeMs a time in the past, in milliseconds
     * @return the number at the end of the time's bucket, or of the oldest bucket if the time is older
     */
    int at(long timeMs) {
        if (lastBucket == Long.MIN_VALUE) {
            return 0;
        }
        long bucket = Math.floorDiv(timeMs, BUCKET_MS);
        long known = Math.max(lastBucket - BUCKETS + 1, Math.min(lastBucket, bucket));
        return values[index(known)];
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
