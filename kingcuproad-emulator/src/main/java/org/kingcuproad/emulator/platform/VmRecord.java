package org.kingcuproad.emulator.platform;

/**
 * A VM in the list.
 *
 * @param name name of the VM
 * @param role {@code entry} or {@code upstream}
 * @param address IP and gRPC port, separated by a colon
 * @param dataCentre data centre of the VM
 * @param state {@code live} or {@code leaving}
 */
public record VmRecord(String name, String role, String address, String dataCentre, String state) {}
