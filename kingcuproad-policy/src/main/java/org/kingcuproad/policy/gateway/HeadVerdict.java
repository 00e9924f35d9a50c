package org.kingcuproad.policy.gateway;

import java.util.List;
import java.util.Set;

/**
 * Decides whether the head of a response answers the request in progress on its connection.
 *
 * <p>This answers the load of upstreams in trouble that send bytes that are no response, two responses, or one late. A
 * response answers the request only if it is one of the protocol and says so itself; everything else is improper.
 */
public sealed interface HeadVerdict {

    /**
     * The head answers the request.
     *
     * @param framing how it says where its body ends
     */
    record Answer(ResponseFraming framing) implements HeadVerdict {}

    /** The final response is still to come. */
    record Informational() implements HeadVerdict {

        /** Maximum number of informational responses to a request; a server in trouble may send them without end. */
        public static final int MAX_RESPONSES = 16;
    }

    /**
     * A second response to an earlier request of the connection, which is passed over.
     *
     * @param requestId id of that request
     */
    record LateCopy(String requestId) implements HeadVerdict {}

    /**
     * No response of the protocol to the request. What else comes on the connection can't be trusted either.
     *
     * @param reason what is wrong with it
     */
    record Improper(String reason) implements HeadVerdict {}

    /** Status 101: the gateway asks for no other protocol. */
    int SWITCHING_PROTOCOLS = 101;

    /** First status of a final response. */
    int FIRST_FINAL_STATUS = 200;

    /** Statuses of responses without a body: 204 and 304. */
    Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

    /** Statuses whose responses may not even state a body: 204 and 205. */
    Set<Integer> STATUSES_OF_EMPTY_RESPONSES = Set.of(204, 205);

    /**
     * Decides about a head.
     *
     * @param head the head
     * @param request the request in progress
     * @return whether it answers the request
     */
    static HeadVerdict of(ResponseHead head, ExpectedResponse request) {
        HeadVerdict verdict = ofFraming(head, request.bodiless());
        return verdict instanceof Answer answer ? ofIds(head, request, answer) : verdict;
    }

    /**
     * Decides about the head of a response to a call that carries no id and asks for a body. Such a response shows only
     * by its place on the connection which call it answers.
     *
     * @param head the head
     * @return whether it may answer the call
     */
    static HeadVerdict ofCall(ResponseHead head) {
        return ofFraming(head, false);
    }

    private static HeadVerdict ofFraming(ResponseHead head, boolean bodiless) {
        if (head.status() < FIRST_FINAL_STATUS) {
            return head.status() == SWITCHING_PROTOCOLS
                    ? new Improper("switch to a protocol that nobody asked for")
                    : new Informational();
        }
        if (!hasKnownFraming(head)) {
            return new Improper("framing that the protocol doesn't have");
        }
        if (STATUSES_OF_EMPTY_RESPONSES.contains(head.status()) && statesBody(head)) {
            // The decoder reads no body after 204, and the encoder writes none after 205; a success would lack it.
            return new Improper("body of a response that has none");
        }
        if (!head.contentCodings().isEmpty()) {
            return new Improper("encoded body");
        }
        return new Answer(framing(head, bodiless));
    }

    private static boolean statesBody(ResponseHead head) {
        return !head.transferCodings().isEmpty()
                || head.lengths().stream().anyMatch(length -> !length.strip().equals("0"));
    }

    private static HeadVerdict ofIds(ResponseHead head, ExpectedResponse request, Answer answer) {
        if (head.requestIds().size() > 1 || head.seals().size() > 1) {
            return new Improper("more than one request id or seal");
        }
        return head.requestIds().isEmpty()
                ? withoutId(head, request, answer)
                : withId(head, head.requestIds().getFirst(), request, answer);
    }

    private static boolean hasKnownFraming(ResponseHead head) {
        List<String> codings = head.transferCodings();
        return codings.isEmpty()
                || (codings.size() == 1
                        && codings.getFirst().strip().equalsIgnoreCase("chunked")
                        && head.lengths().isEmpty());
    }

    /** An upstream may reject a request without having read its id, which can only be the first of a connection. */
    private static HeadVerdict withoutId(ResponseHead head, ExpectedResponse request, Answer answer) {
        if (!request.earlierIds().isEmpty()) {
            return new Improper("response without a request id on a reused connection");
        }
        return head.success() ? new Improper("successful response without a request id") : answer;
    }

    private static HeadVerdict withId(ResponseHead head, String id, ExpectedResponse request, Answer answer) {
        if (id.equals(request.requestId())) {
            boolean sealed = head.seals().stream().anyMatch(seal -> !seal.isBlank());
            return head.success() && !sealed ? new Improper("successful response without a seal") : answer;
        }
        return !id.isBlank() && request.earlierIds().contains(id)
                ? new LateCopy(id)
                : new Improper("response to a request that was not sent on the connection");
    }

    private static ResponseFraming framing(ResponseHead head, boolean bodiless) {
        if (bodiless || STATUSES_WITHOUT_BODY.contains(head.status())) {
            return ResponseFraming.NO_BODY;
        }
        if (!head.transferCodings().isEmpty()) {
            return ResponseFraming.CHUNKS;
        }
        return head.lengths().isEmpty() ? ResponseFraming.CONNECTION : ResponseFraming.LENGTH;
    }
}
