package org.kingcuproad.gateway;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.kingcuproad.policy.coldstart.ColdRateBound;

/**
 * Settings of a gateway.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param clientAddress address on which clients are accepted
 * @param readyAddress address on which readiness checks are answered
 * @param metricsAddress address on which metrics are served
 * @param peerAddress address on which datagrams of other gateways and of agents are received
 * @param storeAddress address of the object store
 * @param strictRevocation whether keys are refused unless the configuration was recently confirmed to be current
 * @param revokeMs time after which a revoked key must no longer be accepted, in milliseconds
 * @param drainGraceMs time from SIGTERM to the end of the process, in milliseconds
 * @param retryRatio allowed retries per request, over all gateways
 * @param retryWindowMs window of the retry budget, in milliseconds
 * @param retrySlack retries allowed in a window in addition to the ratio, over all gateways
 * @param evacuationMs time after which an evacuation must be in force, in milliseconds; empty if data centres are not
 *     evacuated
 * @param coldRateBound bound on the requests that all gateways together send to a cold upstream
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        InetSocketAddress clientAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        boolean strictRevocation,
        long revokeMs,
        long drainGraceMs,
        double retryRatio,
        long retryWindowMs,
        double retrySlack,
        OptionalLong evacuationMs,
        ColdRateBound coldRateBound) {

    /**
     * Returns a copy with the reloadable settings of another instance. Name and addresses are kept, since a running
     * process can't change them, and so is whether it watches the evacuations.
     *
     * @param other settings to copy from
     * @return the copy
     */
    public GatewaySettings withReloadableSettingsOf(GatewaySettings other) {
        return new GatewaySettings(
                name,
                dataCentre,
                clientAddress,
                readyAddress,
                metricsAddress,
                peerAddress,
                storeAddress,
                other.strictRevocation,
                other.revokeMs,
                other.drainGraceMs,
                other.retryRatio,
                other.retryWindowMs,
                other.retrySlack,
                evacuationMs,
                other.coldRateBound);
    }
}
