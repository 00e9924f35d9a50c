package org.kingcuproad.policy.admission;

import org.kingcuproad.model.Workspace;

/**
 * Fair-queueing weight and limits of a workspace at one entry.
 *
 * @param name unique name of the workspace
 * @param weight share of the capacity relative to other workspaces
 * @param maxInFlight maximum number of concurrently dispatched requests of the workspace
 * @param maxQueued maximum number of queued requests of the workspace
 */
public record WorkspaceShare(String name, int weight, int maxInFlight, int maxQueued) {

    /** Validates the weight, which is used as a divisor. */
    public WorkspaceShare {
        if (weight < 1) {
            throw new IllegalArgumentException("weight of " + name + " must be at least 1: " + weight);
        }
    }

    /**
     * Creates the share of a workspace of the environment document.
     *
     * @param workspace the workspace in the environment document
     * @param maxQueued maximum number of queued requests of one workspace at one entry
     * @return its share, with a weight of at least 1
     */
    public static WorkspaceShare of(Workspace workspace, int maxQueued) {
        return new WorkspaceShare(
                workspace.name(), Math.max(1, workspace.weight()), workspace.maxInFlight(), maxQueued);
    }
}
