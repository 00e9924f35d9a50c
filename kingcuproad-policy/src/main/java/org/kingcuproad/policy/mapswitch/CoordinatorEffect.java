package org.kingcuproad.policy.mapswitch;

/** An effect that the coordinating process executes for a switch. */
public sealed interface CoordinatorEffect {

    /**
     * Sends the prepare request to a rank.
     *
     * @param rank number of the rank
     * @param request the request
     */
    record SendPrepare(int rank, PrepareMap request) implements CoordinatorEffect {}

    /**
     * Sends the result to a rank.
     *
     * @param rank number of the rank
     * @param settle the message
     */
    record SendSettle(int rank, SettleMap settle) implements CoordinatorEffect {}

    /**
     * The coordinator has finished. Ranks that have not received the result settle the switch among themselves.
     *
     * @param committed whether all ranks promised
     * @param reason reason for the abort, empty if all ranks promised
     */
    record Finished(boolean committed, String reason) implements CoordinatorEffect {}
}
