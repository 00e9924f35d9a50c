package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;

/**
 * Settings of a rank agent.
 *
 * @param name name of the VM
 * @param service service of the engine
 * @param engineAddress address of the engine on the same VM
 * @param agentAddress address on which the agent receives datagrams; the port is the same on all VMs
 * @param metricsAddress address on which metrics are served
 * @param storeAddress address of the object store
 * @param linkMbps bandwidth of the VM's link, in megabits per second
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
     * Returns a copy with another bandwidth. The other settings can't be changed while the process runs.
     *
     * @param newLinkMbps bandwidth of the VM's link, in megabits per second
     * @return the copy
     */
    public RankAgentSettings withLinkMbps(double newLinkMbps) {
        return new RankAgentSettings(
                name, service, engineAddress, agentAddress, metricsAddress, storeAddress, newLinkMbps);
    }
}
