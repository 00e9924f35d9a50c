package org.kingcuproad.policy.gateway;

/**
 * Attributes of a request that determine its position in a {@link RequestQueue}.
 *
 * @param arrivedMs time of arrival, in milliseconds
 * @param goalDeadlineMs time until which a response counts as on time, in milliseconds
 * @param startDeadlineMs latest time at which the request is still worth starting, in milliseconds
 * @param priority priority, the lowest number is served first
 */
public record SchedulingAttributes(long arrivedMs, long goalDeadlineMs, long startDeadlineMs, int priority) {}
