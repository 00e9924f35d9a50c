package org.kingcuproad.policy.admission;

/**
 * What admission looks at in a request.
 *
 * @param workspace workspace of the caller
 * @param cost expected work of the request in any unit that all requests share, such as tokens; greater than 0
 * @param firstTokenLimitMs time from now within which the first token must arrive, in milliseconds
 * @param expectedFirstTokenMs time to the first token once the request is dispatched, in milliseconds
 */
public record AdmissionRequest(String workspace, double cost, double firstTokenLimitMs, double expectedFirstTokenMs) {}
