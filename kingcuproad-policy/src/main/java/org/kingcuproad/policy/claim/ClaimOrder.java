package org.kingcuproad.policy.claim;

/**
 * An order that needs a claim before it runs.
 *
 * @param requestId identifier of the request
 * @param key hash of its idempotency key
 * @param requestDigest 64-bit digest of method, path and body
 */
public record ClaimOrder(String requestId, ClaimKey key, long requestDigest) {}
