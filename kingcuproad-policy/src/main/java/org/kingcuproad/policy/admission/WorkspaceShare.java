package org.kingcuproad.policy.admission;

import org.kingcuproad.model.Workspace;

/**
 * Share and limits of a workspace at one entry.
 *
 * @param name unique name of the workspace
 * @param weight share of the capacity relative to other workspaces
 * @param maxInFlight requests of the workspace that may run at the same time
 * @param maxQueued requests of the workspace that may wait
 */
public record WorkspaceShare(String name, int weight, int maxInFlight, int maxQueued) {

    /** Checks the weight, which divides costs. */
    public WorkspaceShare {
        if (weight < 1) {
            throw new IllegalArgumentException("weight of " + name + " is " + weight);
        }
    }

    /**
     * Takes the share of a workspace of the environment document.
     *
     * @param workspace a workspace of the document
     * @param maxQueued requests of one workspace that may wait at one entry
     * @return the share
     */
    public static WorkspaceShare of(Workspace workspace, int maxQueued) {
        return new WorkspaceShare(
                workspace.name(), Math.max(1, workspace.weight()), workspace.maxInFlight(), maxQueued);
    }
}
