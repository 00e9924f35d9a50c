package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/**
 * A query from one rank to another about its state.
 *
 * @param from number of the querying rank
 * @param view hash of the incarnations of all ranks as known to the querying rank
 * @param incarnation incarnation of the receiving rank as known to the querying rank, or zero if unknown
 * @param round query round of the querying rank, which the reply repeats
 * @param id the switch to settle, or absent if the rank joins the group or checks incarnations
 */
public record PeerQuery(
        int from,
        long view,
        long incarnation,
        long round,
        @Nullable SwitchId id) {}
