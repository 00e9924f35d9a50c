package org.kingcuproad.config.settings;

import java.util.List;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/**
 * Settings of an agent process.
 *
 * @param upstream name of the upstream that the agent runs beside
 * @param dataCentre data centre of the VM
 * @param environment name of the environment that the upstream serves
 * @param stage stage of the environment
 * @param listenHost IP number to listen on
 * @param agentPort gRPC port for entries and other agents, or 0 for any free one
 * @param adminPort port for health and metrics, or 0 for any free one
 * @param upstreamUrl base URL of the upstream
 * @param platformUrl base URL of the platform API
 * @param relays relay ports of entries, which give the document
 */
public record AgentSettings(
        String upstream,
        String dataCentre,
        String environment,
        Stage stage,
        String listenHost,
        int agentPort,
        int adminPort,
        String upstreamUrl,
        String platformUrl,
        List<HostPort> relays) {

    /** Copies the list, so that the value is immutable. */
    public AgentSettings {
        relays = List.copyOf(relays);
    }
}
