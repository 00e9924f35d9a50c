package org.kingcuproad.policy.gateway;

/** Whether new requests may be sent to an upstream now, and if not, why and until when. */
public sealed interface UpstreamAvailability {

    /** Time of a reason that ends only with the next incarnation of the upstream. */
    long NEVER_MS = Long.MAX_VALUE;

    /** Time after a back-off in which requests return by degrees, since they would overload the upstream again. */
    long RETURN_MS = 1_000;

    /** Minimum interval between requests to an upstream that has just returned from a back-off. */
    long RETURN_INTERVAL_MS = 50;

    /** Requests may be sent. */
    record Available() implements UpstreamAvailability {}

    /**
     * No request may be sent.
     *
     * @param reason why
     * @param untilMs time at which the reason ends, in milliseconds; {@link #NEVER_MS} if this incarnation of the
     *     upstream gets no more requests, and the present time if the end is not known
     */
    record Unavailable(Reason reason, long untilMs) implements UpstreamAvailability {

        /**
         * Returns whether the upstream gets no more requests in its present incarnation.
         *
         * @return {@code true} if waiting for the upstream is in vain
         */
        public boolean permanent() {
            return untilMs == NEVER_MS;
        }
    }

    /** The closed list of reasons. */
    enum Reason {
        /** The upstream is no longer registered. */
        REMOVED,
        /** Another upstream runs at its address. */
        REPLACED,
        /** The register says that it is draining. */
        DRAINING,
        /** A response of the upstream said that it is leaving. */
        LEAVING,
        /** Operators have evacuated its data centre. */
        EVACUATED,
        /** The upstream rejected a request and said when to come back. */
        BACKING_OFF,
        /** The time for which it asked for no requests has just ended, and requests return by degrees. */
        RETURNING,
        /** It has just started, and requests are sent at the low rate that it tolerates. */
        COLD,
        /** It failed several times in a row, or is tried with a single request. */
        EJECTED,
        /** It has received as many requests as it accepts. */
        LIMITED
    }

    /**
     * Decides about an upstream. The reasons are ordered: a permanent one hides the others.
     *
     * @param state what is known of the upstream
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    static UpstreamAvailability of(UpstreamState state, long nowMs) {
        if (state.removed()) {
            return new Unavailable(Reason.REMOVED, NEVER_MS);
        }
        if (state.replaced()) {
            return new Unavailable(Reason.REPLACED, NEVER_MS);
        }
        if (state.leaving()) {
            return new Unavailable(Reason.LEAVING, NEVER_MS);
        }
        if (state.draining()) {
            return new Unavailable(Reason.DRAINING, NEVER_MS);
        }
        if (state.evacuated()) {
            return new Unavailable(Reason.EVACUATED, nowMs);
        }
        if (state.backOffUntilMs() > nowMs) {
            return new Unavailable(Reason.BACKING_OFF, state.backOffUntilMs());
        }
        if (nowMs - state.backOffUntilMs() < RETURN_MS && nowMs - state.lastSendMs() < RETURN_INTERVAL_MS) {
            return new Unavailable(Reason.RETURNING, state.lastSendMs() + RETURN_INTERVAL_MS);
        }
        if (state.coldUntilMs() > nowMs) {
            return new Unavailable(Reason.COLD, state.coldUntilMs());
        }
        if (!state.healthy()) {
            return new Unavailable(Reason.EJECTED, nowMs);
        }
        return state.withinRequestLimit() ? new Available() : new Unavailable(Reason.LIMITED, nowMs);
    }
}
