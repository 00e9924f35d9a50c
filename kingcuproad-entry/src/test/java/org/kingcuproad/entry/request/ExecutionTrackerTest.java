package org.kingcuproad.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/** Guards against an error that states "not run" although an earlier attempt may have run (H3). */
class ExecutionTrackerTest {

    @ParameterizedTest
    @CsvSource({
        // kind of the earlier attempt, its execution, kind of the last failure, kind that the caller receives
        "OVERLOADED,        NOT_RUN, SHUTTING_DOWN,             SHUTTING_DOWN",
        "UPSTREAM_LOST,     UNKNOWN, OVERLOADED,                UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, NO_UPSTREAM,               UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, DEADLINE_EXCEEDED_NOT_RUN, UPSTREAM_LOST",
        "UPSTREAM_FAILED,   RAN,     SHUTTING_DOWN,             UPSTREAM_FAILED",
        "ANSWER_INCOMPLETE, RAN,     OVERLOADED,                ANSWER_INCOMPLETE",
        "NO_UPSTREAM,       UNKNOWN, OVERLOADED,                UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, DEADLINE_EXCEEDED,         DEADLINE_EXCEEDED"
    })
    void notRunIsReportedOnlyIfNoAttemptMayHaveRun(
            ErrorKind earlier, Execution execution, ErrorKind last, ErrorKind expected) {
        ExecutionTracker tracker = new ExecutionTracker();
        tracker.onAttemptFailed(earlier, execution);
        assertThat(tracker.kindForCaller(last)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"UPSTREAM_LOST", "UPSTREAM_FAILED"})
    void aLaterRefusalDoesNotHideAnEarlierRun(ErrorKind first) {
        ExecutionTracker tracker = new ExecutionTracker();
        tracker.onAttemptFailed(first, first.execution());
        tracker.onAttemptFailed(ErrorKind.OVERLOADED, Execution.NOT_RUN);
        assertThat(tracker.kindForCaller(ErrorKind.OVERLOADED)).isEqualTo(first);
    }
}
