package org.kingcuproad.policy.coldstart;

/**
 * Bound on the requests that all gateways together may send to a cold upstream in any one second.
 *
 * <p>It answers the load in which several gateways, which may not reach one another, find an empty upstream at the same
 * time. Each gateway uses an equal share of the tolerated rate, evenly spaced, so no messages are needed: in any one
 * second each of n gateways sends at most its share, rounded up. A share that would exceed the bound when rounded up is
 * lowered. With more gateways than requests that the bound allows, the bound can't be kept without messages, and the
 * shares only add up to the tolerated rate.
 *
 * @param over how many times the tolerated rate may be reached
 * @param slack requests that may be sent in addition
 */
public record ColdRateBound(double over, double slack) {

    /** Bound of a deployment that states none: the tolerated rate itself. */
    public static final ColdRateBound DEFAULT = new ColdRateBound(1, 0);

    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns the minimum interval between two requests of one gateway to a cold upstream.
     *
     * <p>A gateway that does not know all others for certain assumes as many as may send one request each in the same
     * second; it then sends less than one a second itself.
     *
     * @param toleratedPerSecond requests a second that the upstream tolerates while it is cold; 0 if it is not limited
     * @param knownGateways the largest number of gateways known since the start, this one included
     * @param complete whether the other gateways have been listed long enough after the start to be known
     * @return the interval in milliseconds; 0 if the upstream is not limited
     */
    public double intervalMs(double toleratedPerSecond, int knownGateways, boolean complete) {
        if (toleratedPerSecond <= 0) {
            return 0;
        }
        double bound = toleratedPerSecond * over + slack;
        double gateways = Math.max(knownGateways, complete ? 1 : Math.max(1, Math.floor(bound)));
        double share = toleratedPerSecond / gateways;
        // In any one second, evenly spaced requests are at most the rate a second, rounded up.
        double wholeShareWithinBound = Math.floor(bound / gateways);
        return MS_PER_SECOND / (wholeShareWithinBound < 1 ? share : Math.min(share, wholeShareWithinBound));
    }
}
