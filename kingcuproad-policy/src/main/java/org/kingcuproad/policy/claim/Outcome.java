package org.kingcuproad.policy.claim;

import org.kingcuproad.policy.stream.Bytes;

/**
 * The answer of an order that ran, as it is kept for retries.
 *
 * @param status HTTP status
 * @param bodyDigest 64-bit digest of the whole body
 * @param bodyKept whether the whole body is kept
 * @param body the body, empty if it is not kept
 */
public record Outcome(int status, long bodyDigest, boolean bodyKept, Bytes body) {

    /** Largest body that is kept; larger ones give {@code already-ran} on a retry. */
    public static final int MAX_BODY_BYTES = 4 * 1024;

    /**
     * Makes the outcome of a run that answered.
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
     * Makes the outcome of a run whose answer broke off.
     *
     * @return an outcome that only tells that the order ran
     */
    public static Outcome withoutAnswer() {
        return new Outcome(0, 0, false, Bytes.EMPTY);
    }
}
