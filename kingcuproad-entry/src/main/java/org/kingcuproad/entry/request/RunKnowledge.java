package org.kingcuproad.entry.request;

import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/**
 * What is known about whether a request ran, over all of its attempts. An idempotent request may have run in an attempt
 * that was lost, so a later attempt that did not run must not make the caller believe that the request did not run.
 */
final class RunKnowledge {

    private ErrorKind earlier = ErrorKind.NO_UPSTREAM;

    /**
     * Takes note of how an attempt ended.
     *
     * @param kind how it ended
     * @param execution what is known about whether it ran
     */
    void attemptFailed(ErrorKind kind, Execution execution) {
        if (execution != Execution.NOT_RUN) {
            earlier = kind.execution() == Execution.NOT_RUN ? ErrorKind.UPSTREAM_LOST : kind;
        }
    }

    /**
     * Chooses what to tell the caller.
     *
     * @param last why the request fails now
     * @return the same kind, unless it says "not run" and an earlier attempt may have run
     */
    ErrorKind answer(ErrorKind last) {
        boolean mayHaveRun = earlier.execution() != Execution.NOT_RUN;
        return last.execution() == Execution.NOT_RUN && mayHaveRun ? earlier : last;
    }
}
