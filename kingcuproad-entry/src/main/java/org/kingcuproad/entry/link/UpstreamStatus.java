package org.kingcuproad.entry.link;

/**
 * Last known status of an agent at one entry.
 *
 * @param upstream name of the upstream
 * @param incarnation incarnation of the agent, or 0 before its first report
 * @param revision revision of the document in force at the agent, or 0 if it has none
 * @param inFlight number of requests running on the upstream, from all entries
 * @param leaving whether the upstream accepts no new requests
 * @param failure why the agent can't be reached, or an empty string
 * @param lastReportNs time of the last report on the entry's monotonic clock, in nanoseconds; the time of the first
 *     failure if there has been no report
 */
public record UpstreamStatus(
        String upstream,
        long incarnation,
        long revision,
        int inFlight,
        boolean leaving,
        String failure,
        long lastReportNs) {

    /**
     * Returns the status after a failure to reach the agent.
     *
     * @param newFailure description of the failure
     * @return a copy with the failure
     */
    public UpstreamStatus withFailure(String newFailure) {
        return new UpstreamStatus(upstream, incarnation, revision, inFlight, leaving, newFailure, lastReportNs);
    }
}
