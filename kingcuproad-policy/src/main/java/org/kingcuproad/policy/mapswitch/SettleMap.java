package org.kingcuproad.policy.mapswitch;

/**
 * The result of a switch, sent by the coordinator. A commit means that all ranks of the view promised. An abort is only
 * a hint, on which the ranks settle the switch among themselves, because another coordinator may have prepared the same
 * switch.
 *
 * @param id the switch
 * @param view hash of the incarnations whose promises were given
 * @param incarnation incarnation of the receiving rank
 * @param commit whether all ranks promised
 */
public record SettleMap(SwitchId id, long view, long incarnation, boolean commit) {}
