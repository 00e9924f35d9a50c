package org.kingcuproad.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.kingcuproad.wire.proto.AgentReport;

/** Asks the engine for its load, one request at a time. Lives on the event loop of the agent. */
final class LoadPoll {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final UpstreamClient client;
    private final long intervalMs;
    private long dueMs;
    private boolean waiting;
    private int queued;
    private double tokensPerSecond;
    private long takenMs;

    LoadPoll(UpstreamClient client, long intervalMs, long nowMs) {
        this.client = client;
        this.intervalMs = intervalMs;
        this.dueMs = nowMs;
        this.takenMs = nowMs;
    }

    /** Asks again if it is time and the last question was answered. */
    void tick(long nowMs) {
        if (!waiting && nowMs >= dueMs) {
            dueMs = nowMs + intervalMs;
            waiting = true;
            client.control(
                    "GET",
                    "/control/load",
                    new byte[0],
                    new WholeAnswer((status, body) -> receive(status, body, nowMs)));
        }
    }

    AgentReport.Builder addTo(AgentReport.Builder report, long nowMs) {
        return report.setQueued(report.getQueued() + queued)
                .setTokensPerSecond(tokensPerSecond)
                .setLoadAgeMs((int) Math.max(0, nowMs - takenMs));
    }

    private void receive(int status, byte[] body, long askedMs) {
        waiting = false;
        if (status != 200) {
            return;
        }
        try {
            JsonNode load = MAPPER.readTree(body);
            queued = load.path("waiting").asInt();
            tokensPerSecond = load.path("tokensPerSecond").asDouble();
            takenMs = askedMs - load.path("ageMs").asLong();
        } catch (IOException malformed) {
            // The figures of the last readable report stay in force; their growing age shows the fault.
            return;
        }
    }
}
