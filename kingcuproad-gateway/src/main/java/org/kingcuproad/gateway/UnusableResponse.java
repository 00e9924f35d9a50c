package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/** Decides from the head of a response whether it is of no use to the caller. */
final class UnusableResponse {

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
        return resumeIgnored
                ? Optional.of(
                        new AttemptOutcome.Lost("status " + status.code() + " and no events when resuming the stream"))
                : Optional.empty();
    }
}
