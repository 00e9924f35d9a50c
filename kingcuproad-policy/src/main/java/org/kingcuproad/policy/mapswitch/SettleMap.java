package org.kingcuproad.policy.mapswitch;

/**
 * The coordinator's word on a switch. A commit states the fact that all ranks of the view promised. An abort is only a
 * hint that makes the ranks settle among themselves, because another coordinator may have prepared the same switch.
 *
 * @param id the switch
 * @param view hash of the incarnations whose promises were given
 * @param incarnation incarnation of the rank that is told
 * @param commit whether all promised
 */
public record SettleMap(SwitchId id, long view, long incarnation, boolean commit) {}
