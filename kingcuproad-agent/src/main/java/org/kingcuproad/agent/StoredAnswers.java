package org.kingcuproad.agent;

import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.claim.Outcome;
import org.kingcuproad.policy.stream.ResponseFrame;

/** Builds the answer to a retry of a request that ran before. */
final class StoredAnswers {

    private StoredAnswers() {}

    static List<ResponseFrame> frames(Optional<Outcome> outcome) {
        return outcome.map(StoredAnswers::frames).orElseGet(StoredAnswers::alreadyRan);
    }

    static List<ResponseFrame> frames(Outcome outcome) {
        if (outcome.bodyKept()) {
            return whole(outcome);
        }
        // The upstream of an order without a status was lost before it answered.
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

    private static List<ResponseFrame> whole(Outcome outcome) {
        ResponseFrame.Head head = new ResponseFrame.Head(outcome.status(), List.of());
        ResponseFrame.End end = new ResponseFrame.End(outcome.body().length());
        return outcome.body().length() == 0
                ? List.of(head, end)
                : List.of(head, new ResponseFrame.Chunk(0, outcome.body()), end);
    }
}
