package org.kingcuproad.agent;

import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.claim.Outcome;
import org.kingcuproad.policy.stream.ResponseFrame;

/** Builds the response to a retry of a request that was already executed. */
final class StoredResponses {

    private StoredResponses() {}

    static List<ResponseFrame> frames(Optional<Outcome> outcome) {
        return outcome.map(StoredResponses::frames).orElseGet(StoredResponses::alreadyRan);
    }

    static List<ResponseFrame> frames(Outcome outcome) {
        if (outcome.bodyKept()) {
            return fullResponse(outcome);
        }
        // Without a status, the upstream was lost before it responded.
        return outcome.status() == 0
                ? failure(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.OUTCOME_UNKNOWN.meaning())
                : alreadyRan();
    }

    static List<ResponseFrame> alreadyRan() {
        return failure(ErrorKind.ALREADY_RAN, ErrorKind.ALREADY_RAN.meaning());
    }

    static List<ResponseFrame> failure(ErrorKind kind, String detail) {
        return List.of(new ResponseFrame.Failure(kind, detail));
    }

    private static List<ResponseFrame> fullResponse(Outcome outcome) {
        ResponseFrame.Head head = new ResponseFrame.Head(outcome.status(), List.of());
        ResponseFrame.End end = new ResponseFrame.End(outcome.body().length());
        return outcome.body().length() == 0
                ? List.of(head, end)
                : List.of(head, new ResponseFrame.Chunk(0, outcome.body()), end);
    }
}
