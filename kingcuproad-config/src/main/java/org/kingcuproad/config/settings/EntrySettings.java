package org.kingcuproad.config.settings;

import java.util.List;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/**
 * Settings of an entry process.
 *
 * @param name name of the entry, equal to the name of its VM
 * @param dataCentre data centre of the VM
 * @param environment name of the environment that the entry serves
 * @param stage stage of the environment
 * @param listenHost IP number to listen on
 * @param callerPort port for callers, or 0 for any free one
 * @param adminPort port for health, metrics and the administration API, or 0 for any free one
 * @param relayPort gRPC port for subscribers of documents, or 0 for any free one
 * @param platformUrl base URL of the platform API
 * @param adminCredentialSha256 SHA-256 of the operators' bearer credential, in lower-case hexadecimal
 * @param peers relay ports of other entries, which give a document while the store is down
 * @param subsetSize upstreams that the entry talks to in each model group
 */
public record EntrySettings(
        String name,
        String dataCentre,
        String environment,
        Stage stage,
        String listenHost,
        int callerPort,
        int adminPort,
        int relayPort,
        String platformUrl,
        String adminCredentialSha256,
        List<HostPort> peers,
        int subsetSize) {

    /** Copies the list, so that the value is immutable. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }
}
