package org.kingcuproad.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against retries and hedges that multiply the load of failing upstreams. */
class RetryBudgetTest {

    private static final double RATIO = 0.1;

    /** Covers total failure too, where every request asks for extra attempts. */
    @Property(seed = "4")
    void extraAttemptsAreAtMostTheRatioForAnyInterleaving(@ForAll @Size(max = 2_000) List<Boolean> steps) {
        RetryBudget budget = new RetryBudget(RATIO, 10);
        int requests = 0;
        int extra = 0;
        for (boolean isRequest : steps) {
            if (isRequest) {
                requests++;
                budget.onRequest();
            } else if (budget.tryExtraAttempt()) {
                extra++;
            }
            assertThat((double) extra).isLessThanOrEqualTo(RATIO * requests);
        }
    }

    @Test
    void aQuietTimeDoesNotSaveUpForAStorm() {
        RetryBudget budget = new RetryBudget(RATIO, 10);
        for (int request = 0; request < 10_000; request++) {
            budget.onRequest();
        }
        int extra = 0;
        while (budget.tryExtraAttempt()) {
            extra++;
        }
        assertThat(extra).isEqualTo(10);
    }

    @Test
    void onlyIdempotentRequestsWithoutAnAnswerAreHedgedAndPaidFor() {
        RetryBudget budget = new RetryBudget(1, 10);
        HedgePolicy hedges = new HedgePolicy(budget, new LatencyQuantile(100), 100);
        budget.onRequest();
        assertThat(hedges.tryHedge(false, false, 500, 0)).isFalse();
        assertThat(hedges.tryHedge(true, true, 500, 0)).isFalse();
        assertThat(hedges.tryHedge(true, false, 99, 0)).isFalse();
        assertThat(hedges.tryHedge(true, false, 500, 0)).isTrue();
        assertThat(hedges.tryHedge(true, false, 500, 0)).isFalse();
    }
}
