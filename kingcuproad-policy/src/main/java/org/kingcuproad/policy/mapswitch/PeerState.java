package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/** What one rank tells another about a switch. */
public sealed interface PeerState {

    /** The rank promised and has not settled; it now settles among the ranks only. */
    record Promised() implements PeerState {}

    /** The rank did not promise and never will in this incarnation. */
    record NotPromised() implements PeerState {}

    /** The rank settled: the switch takes place. */
    record Committed() implements PeerState {}

    /** The rank settled: the switch does not take place. */
    record Aborted() implements PeerState {}

    /**
     * Answer to a rank that joins.
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
         * Joins what two ranks know. The later commit counts with the map before it; without one, the greater map does.
         *
         * @param other what another rank told
         * @return what both know, without a pending switch
         */
        Status merge(Status other) {
            boolean known = committed != null || other.committed != null;
            long mine = committed == null ? 0 : committed.step();
            long theirs = other.committed == null ? 0 : other.committed.step();
            Status last = mine >= theirs ? this : other;
            return new Status(
                    null,
                    last.committed,
                    known ? last.baseMap : Math.max(baseMap, other.baseMap),
                    Math.max(closedStep, other.closedStep),
                    Math.max(highestFence, other.highestFence));
        }
    }

    /**
     * The query named an incarnation that this rank does not have.
     *
     * @param incarnation the incarnation that answers
     */
    record OtherIncarnation(long incarnation) implements PeerState {}

    /** The rank knows other incarnations of the ranks than the query and will ask them. */
    record OtherView() implements PeerState {}
}
