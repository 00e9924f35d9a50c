package org.kingcuproad.entry.link;

import org.kingcuproad.wire.proto.AgentReport;

/** Receives the reports of agents, on the event loop. */
public interface ReportListener {

    /**
     * Takes a report.
     *
     * @param upstream name of the upstream that the agent stands beside
     * @param report the report
     */
    void onReport(String upstream, AgentReport report);

    /**
     * Takes note that an agent can't be reached.
     *
     * @param upstream name of the upstream that the agent stands beside
     * @param detail what failed
     */
    void onUnreachable(String upstream, String detail);
}
