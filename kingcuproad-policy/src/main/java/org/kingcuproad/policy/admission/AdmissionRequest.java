package org.kingcuproad.policy.admission;

/**
 * Properties of a request that admission control evaluates.
 *
 * @param workspace name of the caller's workspace
 * @param cost expected work of the request, in a unit common to all requests such as tokens; greater than 0
 * @param firstTokenLimitMs remaining time until the deadline of the first token, in milliseconds
 * @param expectedFirstTokenMs expected time from dispatch to the first token, in milliseconds
 */
public record AdmissionRequest(String workspace, double cost, double firstTokenLimitMs, double expectedFirstTokenMs) {}
