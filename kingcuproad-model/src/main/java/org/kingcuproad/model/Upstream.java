package org.kingcuproad.model;

/**
 * A server that runs requests, with one agent beside it.
 *
 * @param name unique name of the upstream
 * @param vm name of its VM in the platform's list, which gives the address of the agent
 * @param dataCentre data centre of the VM
 * @param kind what the upstream serves
 * @param group name of its model group, or of its service
 * @param maxConcurrent requests that may run on it at the same time
 * @param checksFencing whether the engine itself refuses orders with an old fencing token
 */
public record Upstream(
        String name,
        String vm,
        String dataCentre,
        UpstreamKind kind,
        String group,
        int maxConcurrent,
        boolean checksFencing) {}
