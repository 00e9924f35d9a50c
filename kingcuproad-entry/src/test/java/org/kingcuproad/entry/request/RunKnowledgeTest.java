package org.kingcuproad.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/** Guards against a caller that is told "not run" although an earlier attempt may have run (H3). */
class RunKnowledgeTest {

    @ParameterizedTest
    @CsvSource({
        // earlier attempt, whether it ran, last failure, what the caller is told
        "OVERLOADED,        NOT_RUN, SHUTTING_DOWN,             SHUTTING_DOWN",
        "UPSTREAM_LOST,     UNKNOWN, OVERLOADED,                UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, NO_UPSTREAM,               UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, DEADLINE_EXCEEDED_NOT_RUN, UPSTREAM_LOST",
        "UPSTREAM_FAILED,   RAN,     SHUTTING_DOWN,             UPSTREAM_FAILED",
        "ANSWER_INCOMPLETE, RAN,     OVERLOADED,                ANSWER_INCOMPLETE",
        "NO_UPSTREAM,       UNKNOWN, OVERLOADED,                UPSTREAM_LOST",
        "UPSTREAM_LOST,     UNKNOWN, DEADLINE_EXCEEDED,         DEADLINE_EXCEEDED"
    })
    void notRunIsSaidOnlyIfNoAttemptMayHaveRun(
            ErrorKind earlier, Execution execution, ErrorKind last, ErrorKind expected) {
        RunKnowledge knowledge = new RunKnowledge();
        knowledge.attemptFailed(earlier, execution);
        assertThat(knowledge.answer(last)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"UPSTREAM_LOST", "UPSTREAM_FAILED"})
    void aLaterRefusalDoesNotHideAnEarlierRun(ErrorKind first) {
        RunKnowledge knowledge = new RunKnowledge();
        knowledge.attemptFailed(first, first.execution());
        knowledge.attemptFailed(ErrorKind.OVERLOADED, Execution.NOT_RUN);
        assertThat(knowledge.answer(ErrorKind.OVERLOADED)).isEqualTo(first);
    }
}
