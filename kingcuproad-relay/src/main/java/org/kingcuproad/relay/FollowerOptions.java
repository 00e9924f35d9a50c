package org.kingcuproad.relay;

import java.util.List;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/**
 * Who follows the document of which stage.
 *
 * @param name name of the process; for an entry, the name of its VM
 * @param dataCentre data centre of the process
 * @param environment name of the environment
 * @param stage stage of the environment
 * @param mayRelay whether the process is an entry, which relays and needs all VMs
 * @param peers relay addresses of entries, asked while the process has no document
 */
public record FollowerOptions(
        String name, String dataCentre, String environment, Stage stage, boolean mayRelay, List<HostPort> peers) {

    /** Copies the list, so that the value is immutable. */
    public FollowerOptions {
        peers = List.copyOf(peers);
    }
}
