package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.Set;

/** Decides from the head of a response whether it is of no use to the caller. */
final class UnusableResponse {

    /** Statuses by which callers know that a request has not run: 408, 429 and 503. */
    private static final Set<Integer> PROMISES = Set.of(408, 429, 503);

    private UnusableResponse() {}

    /**
     * Returns how the attempt ends.
     *
     * @param response the head
     * @param resumeIgnored whether a stream was to be resumed and the response is none
     * @return the outcome, or empty if the response can be passed on
     */
    static Optional<AttemptOutcome> of(HttpResponse response, HeaderNames names, boolean resumeIgnored) {
        HttpResponseStatus status = response.status();
        boolean notRun = response.headers().contains(names.notExecuted());
        if (notRun && status.codeClass() == HttpStatusClass.SUCCESS) {
            return Optional.of(new AttemptOutcome.Lost("successful response to a request that was not run"));
        }
        boolean misdirected = status.equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (notRun || misdirected) {
            return Optional.of(new AttemptOutcome.NotRun("status " + status.code(), misdirected));
        }
        if (PROMISES.contains(status.code())
                && response.headers().get(names.seal(), "").isBlank()) {
            // The caller would take the status for a promise that the request will never run.
            return Optional.of(new AttemptOutcome.Lost("status " + status.code() + " that no upstream stands by"));
        }
        return resumeIgnored
                ? Optional.of(
                        new AttemptOutcome.Lost("status " + status.code() + " and no events when resuming the stream"))
                : Optional.empty();
    }
}
