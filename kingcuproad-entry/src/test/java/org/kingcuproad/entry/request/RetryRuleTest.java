package org.kingcuproad.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;

/** Guards against a second run of a non-idempotent request, and against a response that mixes two attempts (H2, H4). */
class RetryRuleTest {

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItDidNotRun() {
        for (ErrorKind kind : ErrorKind.values()) {
            for (Execution execution : new Execution[] {Execution.RAN, Execution.UNKNOWN}) {
                assertThat(RetryRule.mayRetry(kind, execution, false, false, 1))
                        .as("%s %s", kind, execution)
                        .isFalse();
            }
        }
    }

    @Test
    void nothingIsRetriedOncePartOfTheResponseReachedTheCaller() {
        assertThat(Arrays.stream(ErrorKind.values()))
                .noneMatch(kind -> RetryRule.mayRetry(kind, kind.execution(), true, true, 1));
    }

    @Test
    void attemptsAreBounded() {
        assertThat(RetryRule.mayRetry(ErrorKind.OVERLOADED, Execution.NOT_RUN, true, false, RetryRule.MAX_ATTEMPTS))
                .isFalse();
    }

    @Test
    void refusalsByOneAgentAreRetriedElsewhere() {
        assertThat(RetryRule.mayRetry(ErrorKind.SHUTTING_DOWN, Execution.NOT_RUN, false, false, 1))
                .isTrue();
    }
}
