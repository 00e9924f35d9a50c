package org.kingcuproad.policy.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Keeps the requests that all gateways together send to one upstream within the limit that the upstream announces.
 *
 * <p>Gateways report to one another how many requests they have sent there. Each gateway keeps the same token bucket:
 * it fills at the announced rate, and every request takes a token, whichever gateway sent it. Requests of other
 * gateways are known only some time later, so several gateways may take the same token; the bucket is then in debt, and
 * nobody sends until the debt is paid. For each gateway that is known but silent, an equal share of the rate is left
 * unused.
 *
 * <p>It answers the load in which some upstreams accept less than usual while the others have places.
 */
public final class SharedRequestLimit {

    /** Time for which unused tokens are kept, so that requests need not arrive evenly. */
    private static final double BURST_S = 0.5;

    /**
     * Rate at which an upstream that accepts nothing still gets requests, since only a response can tell that its limit
     * has ended.
     */
    private static final double MIN_PER_SECOND = 0.25;

    private static final double MS_PER_SECOND = 1_000;

    private OptionalDouble perSecond = OptionalDouble.empty();
    private long observedMs = Long.MIN_VALUE;
    private double tokens;
    private long filledMs;
    private boolean everLimited;
    private long ownSends;
    private final Map<String, Long> peerSends = new HashMap<>();

    /** Creates a limit that allows everything until the upstream announces one. */
    public SharedRequestLimit() {}

    /**
     * Records what the upstream announced most recently.
     *
     * @param announced requests a second that it accepts from all gateways together, or empty if it states no limit
     * @param atMs time of the response, in milliseconds; an older announcement than the known one is ignored
     * @param nowMs current time, in milliseconds
     * @return whether the limit has changed
     */
    public boolean onAnnounced(OptionalDouble announced, long atMs, long nowMs) {
        if (atMs < observedMs) {
            return false;
        }
        observedMs = atMs;
        if (announced.equals(perSecond)) {
            return false;
        }
        fill(nowMs, 1);
        if (perSecond.isEmpty()) {
            tokens = 0;
        }
        perSecond = announced;
        everLimited = true;
        return true;
    }

    /** Records a request that this gateway sends to the upstream. */
    public void onSend() {
        ownSends++;
        tokens--;
    }

    /**
     * Records how many requests another gateway has sent to the upstream.
     *
     * @param peer name of the gateway
     * @param sends number of requests since the gateway started; fewer than before after a restart
     */
    public void onPeerSends(String peer, long sends) {
        Long known = peerSends.put(peer, sends);
        if (known != null && sends > known) {
            tokens -= sends - known;
        }
    }

    /**
     * Returns whether a request may be sent to the upstream now.
     *
     * @param activeShare share of the known gateways that report their requests, from 0 to 1
     * @param nowMs current time, in milliseconds
     * @return {@code true} if the upstream announces no limit or its limit allows another request
     */
    public boolean allows(double activeShare, long nowMs) {
        if (perSecond.isEmpty()) {
            return true;
        }
        fill(nowMs, activeShare);
        return tokens >= 1;
    }

    private void fill(long nowMs, double activeShare) {
        if (perSecond.isPresent()) {
            double rate = Math.max(MIN_PER_SECOND, perSecond.getAsDouble()) * activeShare;
            double capacity = Math.max(1, rate * BURST_S);
            tokens = Math.min(capacity, tokens + rate * (nowMs - filledMs) / MS_PER_SECOND);
        }
        filledMs = nowMs;
    }

    /**
     * Returns the limit in force.
     *
     * @return requests a second, or empty if the upstream announces none
     */
    public OptionalDouble perSecond() {
        return perSecond;
    }

    /**
     * Returns whether the upstream has announced a limit since it is known.
     *
     * @return {@code true} also after the limit has ended
     */
    public boolean everLimited() {
        return everLimited;
    }

    /**
     * Returns the time of the announcement that is in force.
     *
     * @return the time in milliseconds, {@link Long#MIN_VALUE} if there was no response yet
     */
    public long observedMs() {
        return observedMs;
    }

    /**
     * Returns the number of requests that this gateway has sent to the upstream.
     *
     * @return the number since the upstream is known
     */
    public long ownSends() {
        return ownSends;
    }
}
