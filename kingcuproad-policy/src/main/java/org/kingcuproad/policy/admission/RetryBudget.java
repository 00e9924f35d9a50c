package org.kingcuproad.policy.admission;

/**
 * Limits extra attempts (retries and hedges) to a ratio of requests.
 *
 * <p>Each request deposits the ratio, each extra attempt withdraws one. The balance starts at zero and is bounded, so
 * at no time were there more extra attempts than the ratio of the requests so far, and a quiet time does not save up
 * for a retry storm. Amounts are whole millionths, because rounding errors of sums would break the limit.
 */
public final class RetryBudget {

    private static final long ONE_ATTEMPT = 1_000_000;

    private final long deposit;
    private final long maxBalance;
    private long balance;

    /**
     * Creates a budget with a balance of zero.
     *
     * @param ratio extra attempts allowed for each request, from 0 to 1
     * @param maxSavedAttempts extra attempts that may be saved up
     */
    public RetryBudget(double ratio, int maxSavedAttempts) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry budget ratio is " + ratio);
        }
        this.deposit = (long) (ratio * ONE_ATTEMPT);
        this.maxBalance = maxSavedAttempts * ONE_ATTEMPT;
    }

    /** Notes a first attempt of a request. */
    public void onRequest() {
        balance = Math.min(maxBalance, balance + deposit);
    }

    /**
     * Takes one extra attempt out of the budget.
     *
     * @return whether the extra attempt may be made
     */
    public boolean tryExtraAttempt() {
        if (balance < ONE_ATTEMPT) {
            return false;
        }
        balance -= ONE_ATTEMPT;
        return true;
    }
}
