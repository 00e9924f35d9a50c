package org.kingcuproad.entry.request;

import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/**
 * Tracks whether a request may have run in any of its attempts. An idempotent request may have run in an attempt whose
 * connection was lost, so a later attempt that did not run must not lead the caller to believe that the request did not
 * run.
 */
final class ExecutionTracker {

    private ErrorKind earlierKind = ErrorKind.NO_UPSTREAM;

    /**
     * Records a failed attempt.
     *
     * @param kind error kind of the attempt
     * @param execution what is known about whether it ran
     */
    void onAttemptFailed(ErrorKind kind, Execution execution) {
        if (execution != Execution.NOT_RUN) {
            earlierKind = kind.execution() == Execution.NOT_RUN ? ErrorKind.UPSTREAM_LOST : kind;
        }
    }

    /**
     * Returns the error kind that the caller receives.
     *
     * @param lastKind error kind with which the request fails now
     * @return the same kind, unless it states that the request did not run although an earlier attempt may have run;
     *     then the kind of that attempt
     */
    ErrorKind kindForCaller(ErrorKind lastKind) {
        boolean mayHaveRun = earlierKind.execution() != Execution.NOT_RUN;
        return lastKind.execution() == Execution.NOT_RUN && mayHaveRun ? earlierKind : lastKind;
    }
}
