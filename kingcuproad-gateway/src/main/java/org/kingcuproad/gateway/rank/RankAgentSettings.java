package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;

/**
 * Settings of a rank agent.
 *
 * @param name name of the VM
 * @param service service of the engine
 * @param engineAddress address of the engine on the same VM
 * @param agentAddress where datagrams of other agents arrive; the port is the same on all VMs
 * @param metricsAddress where metrics are served
 * @param storeAddress address of the object store
 * @param linkMbps bandwidth of the VM's link, in megabits a second
 */
public record RankAgentSettings(
        String name,
        String service,
        InetSocketAddress engineAddress,
        InetSocketAddress agentAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress storeAddress,
        double linkMbps) {

    /**
     * Returns a copy with another bandwidth. A running process can't change the rest.
     *
     * @param otherMbps bandwidth of the VM's link, in megabits a second
     * @return the copy
     */
    public RankAgentSettings withLinkMbps(double otherMbps) {
        return new RankAgentSettings(
                name, service, engineAddress, agentAddress, metricsAddress, storeAddress, otherMbps);
    }
}
