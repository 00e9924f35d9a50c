package org.kingcuproad.policy.gateway;

/**
 * Tracks how old the configuration is, and whether it is recent enough to accept API keys.
 *
 * <p>A key may be revoked while a gateway can't reach the store. Requests with a key are therefore refused if too much
 * time has passed since the configuration was last confirmed to be current. The steady clock stops while a VM is
 * suspended and the wall clock may jump, so the age is the larger of the values measured on the two clocks.
 */
public final class ConfigurationFreshness {

    /** Fraction of the revocation time after which keys are no longer accepted; the rest allows for clock drift. */
    private static final double ACCEPT_KEYS_FRACTION = 0.9;

    /** Fraction of the revocation time after which the gateway reports that it is not ready for new connections. */
    private static final double READY_FRACTION = 0.6;

    private boolean strictRevocation;
    private long revokeMs;
    private boolean confirmed;
    private long confirmedSteadyMs;
    private long confirmedWallMs;

    /**
     * Creates an instance for a configuration that has not been confirmed yet.
     *
     * @param strictRevocation whether keys are refused once the configuration is too old
     * @param revokeMs time after which a revoked key must no longer be accepted, in milliseconds
     */
    public ConfigurationFreshness(boolean strictRevocation, long revokeMs) {
        this.strictRevocation = strictRevocation;
        this.revokeMs = revokeMs;
    }

    /**
     * Changes the revocation settings. The time of the last confirmation is kept.
     *
     * @param newStrictRevocation whether keys are refused once the configuration is too old
     * @param newRevokeMs time after which a revoked key must no longer be accepted, in milliseconds
     */
    public void adjust(boolean newStrictRevocation, long newRevokeMs) {
        strictRevocation = newStrictRevocation;
        revokeMs = newRevokeMs;
    }

    /**
     * Records that the configuration was current at the given time.
     *
     * @param steadyMs time on the steady clock at which the store was queried, in milliseconds
     * @param wallMs time on the wall clock at which the store was queried, in milliseconds
     */
    public void confirm(long steadyMs, long wallMs) {
        confirmed = true;
        confirmedSteadyMs = steadyMs;
        confirmedWallMs = wallMs;
    }

    /**
     * Returns the time since the last confirmation.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time on the wall clock, in milliseconds
     * @return the age in milliseconds, or {@link Long#MAX_VALUE} if the configuration was never confirmed
     */
    public long ageMs(long steadyMs, long wallMs) {
        return confirmed ? Math.max(steadyMs - confirmedSteadyMs, wallMs - confirmedWallMs) : Long.MAX_VALUE;
    }

    /**
     * Returns whether API keys may be accepted.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time on the wall clock, in milliseconds
     * @return {@code true} if the configuration is recent enough or revocation is not strict
     */
    public boolean acceptsKeys(long steadyMs, long wallMs) {
        return !strictRevocation || ageMs(steadyMs, wallMs) < revokeMs * ACCEPT_KEYS_FRACTION;
    }

    /**
     * Returns whether the gateway is ready for new connections.
     *
     * @param steadyMs current time on the steady clock, in milliseconds
     * @param wallMs current time on the wall clock, in milliseconds
     * @return {@code true} if the configuration was confirmed, and recently enough to serve new clients
     */
    public boolean ready(long steadyMs, long wallMs) {
        return confirmed && (!strictRevocation || ageMs(steadyMs, wallMs) < revokeMs * READY_FRACTION);
    }
}
