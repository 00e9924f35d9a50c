package org.kingcuproad.entry.request;

import java.util.EnumSet;
import java.util.Set;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/** Decides whether a request may be retried on another upstream. */
final class RetryRule {

    static final int MAX_ATTEMPTS = 3;

    // Refusals that apply to one agent only; another upstream may accept the request.
    private static final Set<ErrorKind> LOCAL_REFUSALS =
            EnumSet.of(ErrorKind.SHUTTING_DOWN, ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM);
    // Failures of one upstream; an idempotent request may run again on another one.
    private static final Set<ErrorKind> LOCAL_FAILURES =
            EnumSet.of(ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_INCOMPLETE);

    private RetryRule() {}

    /**
     * Returns whether another attempt is safe and useful.
     *
     * @param kind error kind of the last attempt
     * @param execution what is known about whether it ran
     * @param idempotent whether the request may run more than once
     * @param responseStarted whether a part of the response may have reached the caller
     * @param attempts number of attempts so far
     * @return {@code true} if the request may be sent to another upstream
     */
    static boolean mayRetry(
            ErrorKind kind, Execution execution, boolean idempotent, boolean responseStarted, int attempts) {
        if (responseStarted || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (execution == Execution.NOT_RUN) {
            return LOCAL_REFUSALS.contains(kind);
        }
        return idempotent && LOCAL_FAILURES.contains(kind);
    }
}
