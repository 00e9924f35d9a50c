package org.kingcuproad.policy.claim;

import java.util.List;

/**
 * What one write appended to a segment.
 *
 * @param writtenAtMs wall-clock time of the writer, in milliseconds
 * @param upstream upstream of the writer
 * @param incarnation incarnation of the writer; claims in the log with the writer's own incarnation settle a write
 *     whose response was lost
 * @param claims orders claimed
 * @param outcomes outcomes of orders claimed before
 */
record SegmentBatch(
        long writtenAtMs, String upstream, long incarnation, List<ClaimEntry> claims, List<OutcomeEntry> outcomes) {

    SegmentBatch {
        claims = List.copyOf(claims);
        outcomes = List.copyOf(outcomes);
    }

    /**
     * A claim.
     *
     * @param key hash of the idempotency key
     * @param requestDigest digest of the request
     */
    record ClaimEntry(ClaimKey key, long requestDigest) {}

    /**
     * An outcome.
     *
     * @param key hash of the idempotency key
     * @param outcome what the caller of a retry is told
     */
    record OutcomeEntry(ClaimKey key, Outcome outcome) {}
}
