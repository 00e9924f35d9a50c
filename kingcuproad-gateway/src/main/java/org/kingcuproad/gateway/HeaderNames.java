package org.kingcuproad.gateway;

/**
 * Names of the headers that a gateway reads or writes.
 *
 * @param requestId id of one attempt of a client, echoed by upstreams
 * @param deadlineMs how long the sender of the request will wait for the response, in milliseconds
 * @param key API key of a workspace, sent by clients
 * @param workspace name of the workspace, sent to upstreams
 * @param expectedUpstream id of the only upstream that may run the request
 * @param notExecuted set by an upstream that did not run the request
 * @param seal proof that the response was made by the upstream itself
 * @param requestLimit requests a second that an upstream accepts from all gateways together, while its responses say so
 * @param leaving set to 1 by an upstream that is leaving
 * @param urgency priority in the upstream's own queue, 0 is the highest
 * @param tokenCount number of prompt tokens and maximum number of output tokens, separated by a comma
 * @param promptParts parts of the prompt in order, as {@code id:tokens} separated by commas; the last one belongs to
 *     the request alone
 * @param lengthHint the client's estimate of the number of output tokens
 * @param lastEventId id of the last event that the client has received
 */
public record HeaderNames(
        String requestId,
        String deadlineMs,
        String key,
        String workspace,
        String expectedUpstream,
        String notExecuted,
        String seal,
        String requestLimit,
        String leaving,
        String urgency,
        String tokenCount,
        String promptParts,
        String lengthHint,
        String lastEventId) {}
