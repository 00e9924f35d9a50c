package org.kingcuproad.policy.gateway;

/**
 * What the queue looks at in a waiting request.
 *
 * @param arrivedMs time of arrival, in milliseconds
 * @param aimByMs time until which the answer is on time, in milliseconds
 * @param startByMs latest time at which it is worth starting, in milliseconds
 * @param priority rank, 0 is the highest
 */
public record Waiting(long arrivedMs, long aimByMs, long startByMs, int priority) {}
