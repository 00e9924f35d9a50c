package org.kingcuproad.policy.mapswitch;

/**
 * Request of a coordinator that a rank promise a switch.
 *
 * @param fence fencing token of the coordinator
 * @param id the switch
 * @param view hash of the incarnations of all ranks, see {@link GroupView#hash}
 * @param incarnation incarnation of the receiving rank
 */
public record PrepareMap(long fence, SwitchId id, long view, long incarnation) {}
