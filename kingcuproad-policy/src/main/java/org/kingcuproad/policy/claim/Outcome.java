package org.kingcuproad.policy.claim;

import org.kingcuproad.policy.stream.Bytes;

/**
 * The response of an executed request, as it is stored for retries.
 *
 * @param status HTTP status
 * @param bodyDigest 64-bit digest of the whole body
 * @param bodyKept whether the body is stored
 * @param body the body, empty if it is not stored
 */
public record Outcome(int status, long bodyDigest, boolean bodyKept, Bytes body) {

    /**
     * Largest body that is stored, in bytes; a retry of a request with a larger one is answered with
     * {@code already-ran}.
     */
    public static final int MAX_BODY_BYTES = 4 * 1024;

    /**
     * Creates the outcome of a run with a complete response.
     *
     * @param status HTTP status
     * @param bodyDigest 64-bit digest of the whole body
     * @param body the whole body
     * @return the outcome, without a body larger than {@link #MAX_BODY_BYTES}
     */
    public static Outcome of(int status, long bodyDigest, Bytes body) {
        boolean kept = body.length() <= MAX_BODY_BYTES;
        return new Outcome(status, bodyDigest, kept, kept ? body : Bytes.EMPTY);
    }

    /**
     * Creates the outcome of a run whose response is incomplete or unknown.
     *
     * @return an outcome that only states that the request was executed
     */
    public static Outcome withoutResponse() {
        return new Outcome(0, 0, false, Bytes.EMPTY);
    }
}
