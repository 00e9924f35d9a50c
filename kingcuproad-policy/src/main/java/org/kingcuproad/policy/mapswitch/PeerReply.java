package org.kingcuproad.policy.mapswitch;

/**
 * The reply to a {@link PeerQuery}.
 *
 * @param from number of the replying rank
 * @param view view of the query
 * @param round round of the query
 * @param state state of the replying rank
 */
public record PeerReply(int from, long view, long round, PeerState state) {}
