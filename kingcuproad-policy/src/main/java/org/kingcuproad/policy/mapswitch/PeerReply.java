package org.kingcuproad.policy.mapswitch;

/**
 * The answer to a {@link PeerQuery}.
 *
 * @param from number of the answering rank
 * @param view view of the query
 * @param round round of the query
 * @param state what the rank tells
 */
public record PeerReply(int from, long view, long round, PeerState state) {}
