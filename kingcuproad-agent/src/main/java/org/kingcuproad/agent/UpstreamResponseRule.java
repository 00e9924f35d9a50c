package org.kingcuproad.agent;

import java.util.List;
import org.kingcuproad.policy.gateway.ExpectedResponse;
import org.kingcuproad.policy.gateway.HeadVerdict;
import org.kingcuproad.policy.gateway.ResponseHead;
import org.kingcuproad.policy.gateway.StatusLine;

/**
 * Decides whether the head of an upstream's response answers the request of its connection.
 *
 * <p>Upstreams of the agent send no seal, need not send a request id, and may encode a body as the caller permits. Each
 * connection carries one request, so a response without an id answers that request; one with another id does not.
 */
final class UpstreamResponseRule {

    private static final String REQUEST_ID = "x-request-id";
    private static final String NO_SEAL = "none";

    private UpstreamResponseRule() {}

    /**
     * Decides about a head.
     *
     * @param head the head
     * @param request the only request of the connection
     * @return whether it answers the request
     */
    static HeadVerdict verdict(RawResponseHead head, ExpectedResponse request) {
        if (!StatusLine.isValid(head.lines().getFirst())) {
            return new HeadVerdict.Improper("no status line of HTTP/1");
        }
        ResponseHead response = new ResponseHead(
                head.status(),
                requestIds(head, request),
                List.of(NO_SEAL),
                head.values("transfer-encoding"),
                head.values("content-length"),
                List.of());
        return HeadVerdict.of(response, request);
    }

    /** A control request has no id, so whatever its response bears names no other request. */
    private static List<String> requestIds(RawResponseHead head, ExpectedResponse request) {
        List<String> received = head.values(REQUEST_ID);
        boolean unnamed = received.isEmpty() || request.requestId().isEmpty();
        return unnamed ? List.of(request.requestId()) : received;
    }
}
