package org.kingcuproad.gateway;

import java.net.InetSocketAddress;

/**
 * Settings of a gateway.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param clientAddress where clients connect
 * @param readyAddress where the readiness question is answered
 * @param metricsAddress where metrics are served
 * @param peerAddress where datagrams of other processes of the system arrive
 * @param storeAddress address of the object store
 * @param strictRevocation whether keys stop being accepted without recent proof that they are still valid
 * @param revokeMs time after which a removed key is no longer accepted, in milliseconds
 * @param drainGraceMs time from SIGTERM to the end of the process, in milliseconds
 * @param retryRatio extra sends for each request, over all gateways
 * @param retryWindowMs window of the retry budget, in milliseconds
 * @param retrySlack extra sends in a window beside the ratio, over all gateways
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
        double retrySlack) {

    /**
     * Returns a copy with the bounds of other settings. Name and addresses stay, since a running process can't change
     * them.
     *
     * @param other settings with the bounds
     * @return the copy
     */
    public GatewaySettings withBoundsOf(GatewaySettings other) {
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
                other.retrySlack);
    }
}
