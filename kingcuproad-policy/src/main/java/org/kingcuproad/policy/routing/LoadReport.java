package org.kingcuproad.policy.routing;

import java.util.List;

/**
 * One report of an agent about its upstream.
 *
 * @param incarnation incarnation of the agent, a random number drawn at its start
 * @param sequence number of the report, which increases within an incarnation
 * @param inFlight requests that run on the upstream, from all entries
 * @param queued requests that wait in the upstream
 * @param tokensPerSecond tokens that the upstream generates a second
 * @param leaving whether the upstream takes no new work
 * @param loadAgeMs time since the load was measured, in milliseconds
 * @param cacheEvents changes of the prefix cache since the last report
 */
public record LoadReport(
        long incarnation,
        long sequence,
        int inFlight,
        int queued,
        double tokensPerSecond,
        boolean leaving,
        long loadAgeMs,
        List<CacheEvent> cacheEvents) {

    /** Copies the list, so that the value is immutable. */
    public LoadReport {
        cacheEvents = List.copyOf(cacheEvents);
    }
}
