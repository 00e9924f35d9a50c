package org.kingcuproad.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Retries and hedges must not multiply the load on failing upstreams. */
class RetryBudgetTest {

    private static final double RATIO = 0.1;

    /** Also covers total failure, where every request asks for extra attempts. */
    @Property(seed = "4")
    void extraAttemptsNeverExceedTheRatioForAnyInterleaving(@ForAll @Size(max = 2_000) List<Boolean> steps) {
        RetryBudget budget = new RetryBudget(RATIO, 10);
        int requests = 0;
        int extraAttempts = 0;
        for (boolean isRequest : steps) {
            if (isRequest) {
                requests++;
                budget.onRequest();
            } else if (budget.tryExtraAttempt()) {
                extraAttempts++;
            }
            assertThat((double) extraAttempts).isLessThanOrEqualTo(RATIO * requests);
        }
    }

    @Test
    void savedAttemptsAreCappedAfterAnIdlePeriod() {
        RetryBudget budget = new RetryBudget(RATIO, 10);
        for (int request = 0; request < 10_000; request++) {
            budget.onRequest();
        }
        int extraAttempts = 0;
        while (budget.tryExtraAttempt()) {
            extraAttempts++;
        }
        assertThat(extraAttempts).isEqualTo(10);
    }

    @Test
    void onlyUnansweredIdempotentRequestsAreHedgedWithinTheBudget() {
        RetryBudget budget = new RetryBudget(1, 10);
        HedgePolicy hedgePolicy = new HedgePolicy(budget, new LatencyQuantile(100), 100);
        budget.onRequest();
        assertThat(hedgePolicy.tryHedge(false, false, 500, 0)).isFalse();
        assertThat(hedgePolicy.tryHedge(true, true, 500, 0)).isFalse();
        assertThat(hedgePolicy.tryHedge(true, false, 99, 0)).isFalse();
        assertThat(hedgePolicy.tryHedge(true, false, 500, 0)).isTrue();
        assertThat(hedgePolicy.tryHedge(true, false, 500, 0)).isFalse();
    }
}
