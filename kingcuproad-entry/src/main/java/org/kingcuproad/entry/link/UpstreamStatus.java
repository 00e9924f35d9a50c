package org.kingcuproad.entry.link;

/**
 * The last that an entry heard of an agent.
 *
 * @param upstream name of the upstream
 * @param incarnation incarnation of the agent, or 0 before its first report
 * @param revision revision of the document in force at the agent, or 0 if it has none
 * @param inFlight requests that run on the upstream, from all entries
 * @param leaving whether the upstream takes no new work
 * @param failure why the agent can't be reached, or an empty string
 * @param heardNs when the last report arrived, on the entry's monotonic clock
 */
public record UpstreamStatus(
        String upstream, long incarnation, long revision, int inFlight, boolean leaving, String failure, long heardNs) {

    /**
     * Notes that the agent can't be reached.
     *
     * @param newFailure what failed
     * @return a copy with the failure
     */
    public UpstreamStatus withFailure(String newFailure) {
        return new UpstreamStatus(upstream, incarnation, revision, inFlight, leaving, newFailure, heardNs);
    }
}
