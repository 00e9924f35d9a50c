package org.kingcuproad.policy.enginegroup;

import java.util.Optional;

/**
 * An engine among those of which one is selected for a request.
 *
 * @param group state of its group, or empty if it is not known to belong to one
 * @param load requests in progress, including the work of pending prompts
 * @param limit maximum number of requests in progress
 * @param eligible whether the engine may get the request at all
 * @param hasCapacity whether the request may be sent to it now
 * @param slowdown how many times longer than usual the engine takes for the same work
 */
public record GroupMember(
        Optional<GroupStanding> group,
        double load,
        int limit,
        boolean eligible,
        boolean hasCapacity,
        double slowdown) {}
