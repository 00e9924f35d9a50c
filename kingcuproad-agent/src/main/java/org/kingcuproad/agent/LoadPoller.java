package org.kingcuproad.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.kingcuproad.wire.proto.AgentReport;

/** Polls the load of the engine, with at most one request in flight. Confined to the event loop of the agent. */
final class LoadPoller {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final UpstreamClient client;
    private final long intervalMs;
    private long nextPollMs;
    private boolean requestInFlight;
    private int queued;
    private double tokensPerSecond;
    private long measuredMs;

    LoadPoller(UpstreamClient client, long intervalMs, long nowMs) {
        this.client = client;
        this.intervalMs = intervalMs;
        this.nextPollMs = nowMs;
        this.measuredMs = nowMs;
    }

    /** Sends a request if the poll interval has elapsed and no request is in flight. */
    void tick(long nowMs) {
        if (!requestInFlight && nowMs >= nextPollMs) {
            nextPollMs = nowMs + intervalMs;
            requestInFlight = true;
            client.sendControl(
                    "GET",
                    "/control/load",
                    new byte[0],
                    new ResponseAggregator((status, body) -> receive(status, body, nowMs)));
        }
    }

    AgentReport.Builder addTo(AgentReport.Builder report, long nowMs) {
        return report.setQueued(report.getQueued() + queued)
                .setTokensPerSecond(tokensPerSecond)
                .setLoadAgeMs((int) Math.max(0, nowMs - measuredMs));
    }

    private void receive(int status, byte[] body, long requestedMs) {
        requestInFlight = false;
        if (status != 200) {
            return;
        }
        try {
            JsonNode load = MAPPER.readTree(body);
            queued = load.path("waiting").asInt();
            tokensPerSecond = load.path("tokensPerSecond").asDouble();
            measuredMs = requestedMs - load.path("ageMs").asLong();
        } catch (IOException malformed) {
            // Keeps the values of the last valid report; their growing age reveals the fault.
            return;
        }
    }
}
