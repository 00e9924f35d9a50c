package org.kingcuproad.policy.admission;

/**
 * Limits extra attempts (retries and hedges) to a ratio of the number of requests.
 *
 * <p>Each request deposits the ratio, and each extra attempt withdraws one. The balance starts at zero, so the extra
 * attempts never exceed the ratio of the requests so far. It is capped, so that an idle period does not accumulate
 * credit for a retry storm. Amounts are integers in millionths of an attempt, because accumulated floating-point
 * rounding errors would break the limit.
 */
public final class RetryBudget {

    private static final long MILLIONTHS_PER_ATTEMPT = 1_000_000;

    private final long depositPerRequest;
    private final long maxBalance;
    private long balance;

    /**
     * Creates a budget with a balance of zero.
     *
     * @param ratio allowed extra attempts per request, from 0 to 1
     * @param maxSavedAttempts maximum balance, in extra attempts
     */
    public RetryBudget(double ratio, int maxSavedAttempts) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry budget ratio must be between 0 and 1: " + ratio);
        }
        this.depositPerRequest = (long) (ratio * MILLIONTHS_PER_ATTEMPT);
        this.maxBalance = maxSavedAttempts * MILLIONTHS_PER_ATTEMPT;
    }

    /** Deposits the credit of one request; called for its first attempt only. */
    public void onRequest() {
        balance = Math.min(maxBalance, balance + depositPerRequest);
    }

    /**
     * Withdraws one extra attempt if the balance allows it.
     *
     * @return whether the extra attempt may be made
     */
    public boolean tryExtraAttempt() {
        if (balance < MILLIONTHS_PER_ATTEMPT) {
            return false;
        }
        balance -= MILLIONTHS_PER_ATTEMPT;
        return true;
    }
}
