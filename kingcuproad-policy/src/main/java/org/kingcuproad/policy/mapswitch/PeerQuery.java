package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/**
 * A question of one rank to another.
 *
 * @param from number of the asking rank
 * @param view hash of the incarnations of all ranks as the asking rank knows them
 * @param incarnation incarnation of the asked rank as the asking rank knows it, or zero
 * @param round number of the asking rank's round, which the reply repeats
 * @param id the switch to settle, or absent from a rank that joins or checks incarnations
 */
public record PeerQuery(
        int from,
        long view,
        long incarnation,
        long round,
        @Nullable SwitchId id) {}
