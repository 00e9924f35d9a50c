package org.kingcuproad.policy.claim;

import java.util.List;

/**
 * The claims and outcomes that one write appended to a segment.
 *
 * @param writtenAtMs wall-clock time of the writer, in milliseconds
 * @param upstream upstream of the writer
 * @param incarnation incarnation of the writer; it lets the writer recognise in the log the claims of a write whose
 *     response was lost
 * @param claims claims made by the write
 * @param outcomes outcomes of requests that were claimed earlier
 */
record SegmentBatch(
        long writtenAtMs, String upstream, long incarnation, List<ClaimEntry> claims, List<OutcomeEntry> outcomes) {

    SegmentBatch {
        claims = List.copyOf(claims);
        outcomes = List.copyOf(outcomes);
    }

    /**
     * A claim on an idempotency key.
     *
     * @param key hash of the idempotency key
     * @param requestDigest digest of the request
     */
    record ClaimEntry(ClaimKey key, long requestDigest) {}

    /**
     * The outcome of a claimed request.
     *
     * @param key hash of the idempotency key
     * @param outcome response that a retry receives
     */
    record OutcomeEntry(ClaimKey key, Outcome outcome) {}
}
