package org.kingcuproad.gateway;

/**
 * A run in the books of its upstream.
 *
 * @param requestId id of the request
 * @param seal seal of its response
 * @param status status with which it ended, or 0 if it never did
 * @param body the whole body of its response
 * @param executed whether the upstream ran the request rather than rejecting it
 * @param onUsedConnection whether the connection had carried another request
 */
record TwoAnswersRun(
        String requestId, String seal, int status, String body, boolean executed, boolean onUsedConnection) {}
