package org.kingcuproad.platform;

import org.kingcuproad.model.HostPort;

/**
 * A VM in the platform's list.
 *
 * @param name name of the VM
 * @param role what runs on it
 * @param address gRPC port of its entry or agent
 * @param dataCentre data centre of the VM
 * @param state whether it is leaving
 */
public record Vm(String name, VmRole role, HostPort address, String dataCentre, VmState state) {}
