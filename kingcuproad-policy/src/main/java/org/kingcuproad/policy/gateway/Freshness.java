package org.kingcuproad.policy.gateway;

/**
 * How old the knowledge of keys may be.
 *
 * <p>A key may be taken away while a gateway can't reach the store, so requests with a key are refused when the last
 * proof that the configuration is current is too old. A suspended VM stops the steady clock but not the time of day,
 * and the time of day may jump, so the age is the larger of what both clocks say.
 */
public final class Freshness {

    /** Part of the time allowed for revocation after which keys are no longer accepted; the rest covers clock drift. */
    private static final double ACCEPT_SHARE = 0.9;

    /** Part of the time allowed for revocation after which the gateway asks for no new connections. */
    private static final double READY_SHARE = 0.6;

    private boolean strict;
    private long revokeMs;
    private boolean confirmed;
    private long confirmedSteadyMs;
    private long confirmedWallMs;

    /**
     * Creates an unconfirmed state.
     *
     * @param strict whether keys stop being accepted without proof
     * @param revokeMs time after which a removed key is no longer accepted, in milliseconds
     */
    public Freshness(boolean strict, long revokeMs) {
        this.strict = strict;
        this.revokeMs = revokeMs;
    }

    /**
     * Changes the rules. The last proof stays.
     *
     * @param nextStrict whether keys stop being accepted without proof
     * @param nextRevokeMs time after which a removed key is no longer accepted, in milliseconds
     */
    public void adjust(boolean nextStrict, long nextRevokeMs) {
        strict = nextStrict;
        revokeMs = nextRevokeMs;
    }

    /**
     * Notes that the configuration was current at a time.
     *
     * @param steadyMs time on the steady clock when the store was asked, in milliseconds
     * @param wallMs time of day when the store was asked, in milliseconds
     */
    public void confirm(long steadyMs, long wallMs) {
        confirmed = true;
        confirmedSteadyMs = steadyMs;
        confirmedWallMs = wallMs;
    }

    /**
     * Returns the age of the last proof.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time of day, in milliseconds
     * @return the age in milliseconds, or {@link Long#MAX_VALUE} without any proof
     */
    public long ageMs(long steadyMs, long wallMs) {
        return confirmed ? Math.max(steadyMs - confirmedSteadyMs, wallMs - confirmedWallMs) : Long.MAX_VALUE;
    }

    /**
     * Tells whether keys are accepted.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time of day, in milliseconds
     * @return {@code true} if the knowledge of keys is recent enough
     */
    public boolean acceptsKeys(long steadyMs, long wallMs) {
        return !strict || ageMs(steadyMs, wallMs) < revokeMs * ACCEPT_SHARE;
    }

    /**
     * Tells whether the gateway asks for new connections.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time of day, in milliseconds
     * @return {@code true} if the knowledge is so recent that new clients can be served
     */
    public boolean ready(long steadyMs, long wallMs) {
        return confirmed && (!strict || ageMs(steadyMs, wallMs) < revokeMs * READY_SHARE);
    }
}
