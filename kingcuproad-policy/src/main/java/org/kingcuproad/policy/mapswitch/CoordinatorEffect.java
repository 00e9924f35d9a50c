package org.kingcuproad.policy.mapswitch;

/** What the process that coordinates a switch carries out. */
public sealed interface CoordinatorEffect {

    /**
     * Ask a rank for its promise.
     *
     * @param rank number of the rank
     * @param request the request
     */
    record SendPrepare(int rank, PrepareMap request) implements CoordinatorEffect {}

    /**
     * Tell a rank the result.
     *
     * @param rank number of the rank
     * @param settle the message
     */
    record SendSettle(int rank, SettleMap settle) implements CoordinatorEffect {}

    /**
     * The switch is over for the coordinator; the ranks settle what is left.
     *
     * @param committed whether all ranks promised
     * @param reason why not, empty if they did
     */
    record Finished(boolean committed, String reason) implements CoordinatorEffect {}
}
