package org.kingcuproad.policy.mapswitch;

/**
 * The coordinator's request for a promise.
 *
 * @param fence fencing token of the coordinator
 * @param id the switch
 * @param view hash of the incarnations of all ranks, see {@link GroupView#hash}
 * @param incarnation incarnation of the rank that is asked
 */
public record PrepareMap(long fence, SwitchId id, long view, long incarnation) {}
