package org.kingcuproad.entry.link;

import org.kingcuproad.wire.proto.AgentReport;

/** Receives the reports of agents, on the event loop. */
public interface ReportListener {

    /**
     * Handles a report.
     *
     * @param upstream name of the upstream that the agent runs next to
     * @param report the report
     */
    void onReport(String upstream, AgentReport report);

    /**
     * Handles the failure to reach an agent.
     *
     * @param upstream name of the upstream that the agent runs next to
     * @param detail description of the failure
     */
    void onUnreachable(String upstream, String detail);
}
