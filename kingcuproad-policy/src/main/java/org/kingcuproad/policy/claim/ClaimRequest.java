package org.kingcuproad.policy.claim;

/**
 * A request that needs a claim in the store before it is executed.
 *
 * @param requestId identifier of the request
 * @param key hash of its idempotency key
 * @param requestDigest 64-bit digest of method, path and body
 */
public record ClaimRequest(String requestId, ClaimKey key, long requestDigest) {}
