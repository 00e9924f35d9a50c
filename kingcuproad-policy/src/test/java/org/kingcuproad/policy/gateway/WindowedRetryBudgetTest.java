package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against more retries in any window than the gateway's share of the budget. */
class WindowedRetryBudgetTest {

    /** Guards against memory that grows with each request until the first retry. */
    @Test
    void forgetsOldRequestsWhileNothingIsRetried() {
        WindowedRetryBudget budget = new WindowedRetryBudget(new WindowedRetryBudget.Limits(0.2, 1_000, 3));
        for (int nowMs = 0; nowMs < 100_000; nowMs++) {
            budget.onRequest(nowMs);
        }

        assertThat(budget.rememberedRequests()).isEqualTo(1_000);
    }

    @Test
    void staysWithinLimitsInEveryWindow() {
        Random random = new Random(5);
        WindowedRetryBudget budget = new WindowedRetryBudget(new WindowedRetryBudget.Limits(0.2, 1_000, 3));
        int[] requests = new int[20_000];
        int[] retries = new int[20_000];
        for (int nowMs = 0; nowMs < requests.length; nowMs++) {
            if (random.nextInt(20) == 0) {
                requests[nowMs]++;
                budget.onRequest(nowMs);
            }
            if (random.nextInt(5) == 0 && budget.tryAcquire(nowMs)) {
                retries[nowMs]++;
                int retriesInWindow = 0;
                int requestsInWindow = 0;
                for (int time = Math.max(0, nowMs - 999); time <= nowMs; time++) {
                    retriesInWindow += retries[time];
                    requestsInWindow += requests[time];
                }
                assertThat(retriesInWindow)
                        .as("retries in the window ending at %d ms", nowMs)
                        .isLessThanOrEqualTo((int) (0.2 * requestsInWindow + 3));
            }
        }
    }
}
