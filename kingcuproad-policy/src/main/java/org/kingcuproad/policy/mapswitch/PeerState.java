package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/** State of a switch at one rank, as reported to another rank. */
public sealed interface PeerState {

    /** The rank promised and has not settled. From now on it ignores the coordinator and settles among the ranks. */
    record Promised() implements PeerState {}

    /** The rank did not promise and will not promise this switch in this incarnation. */
    record NotPromised() implements PeerState {}

    /** The rank settled the switch as committed. */
    record Committed() implements PeerState {}

    /** The rank settled the switch as aborted. */
    record Aborted() implements PeerState {}

    /**
     * Reply to a rank that joins the group.
     *
     * @param pending switch that the rank promised and has not settled, or absent
     * @param committed last switch that the rank settled as committed, or absent
     * @param baseMap map in use before that switch
     * @param closedStep the rank promises no switch at or below this step
     * @param highestFence highest fencing token seen
     */
    record Status(
            @Nullable SwitchId pending, @Nullable SwitchId committed, long baseMap, long closedStep, long highestFence)
            implements PeerState {

        /**
         * Merges the states of two ranks. The later commit is taken together with the map that preceded it; if neither
         * rank knows a commit, the greater map version is taken.
         *
         * @param other state reported by another rank
         * @return the merged state, without a pending switch
         */
        Status merge(Status other) {
            boolean anyCommitted = committed != null || other.committed != null;
            long ownCommitStep = committed == null ? 0 : committed.step();
            long otherCommitStep = other.committed == null ? 0 : other.committed.step();
            Status latest = ownCommitStep >= otherCommitStep ? this : other;
            return new Status(
                    null,
                    latest.committed,
                    anyCommitted ? latest.baseMap : Math.max(baseMap, other.baseMap),
                    Math.max(closedStep, other.closedStep),
                    Math.max(highestFence, other.highestFence));
        }
    }

    /**
     * The query was addressed to another incarnation of this rank.
     *
     * @param incarnation current incarnation of this rank
     */
    record OtherIncarnation(long incarnation) implements PeerState {}

    /** The view of the rank differs from the view of the query. The rank queries the others to update its view. */
    record OtherView() implements PeerState {}
}
