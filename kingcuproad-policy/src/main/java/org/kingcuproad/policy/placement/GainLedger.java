package org.kingcuproad.policy.placement;

/**
 * Account of the step time saved against the first map and of the step time lost to moves.
 *
 * <p>Predicted gains may fail to arrive, for example when the load flips just after each change. Spending is therefore
 * bound to gains that have been observed, apart from one allowance for the first plan.
 */
final class GainLedger {

    /** Share of time that moves may cost while gains do not cover them; without it a bad map would stay for good. */
    private static final double IN_DEBT_SHARE = 0.002;

    private final ExpertMap reference;
    private final double expertShareOfStep;
    private final double allowanceSeconds;
    private double savedSeconds;
    private double lostSeconds;
    private long lastSpentMs;

    GainLedger(ExpertMap reference, double expertShareOfStep, double allowanceSeconds) {
        this.reference = reference;
        this.expertShareOfStep = expertShareOfStep;
        this.allowanceSeconds = allowanceSeconds;
    }

    void observe(ExpertMap map, LoadSample sample, double seconds) {
        Scenario seen = new Scenario(1, sample.shares(), sample.slowness());
        double before = seen.relativeStepTime(reference);
        double now = seen.relativeStepTime(map);
        double share = expertShareOfStep;
        savedSeconds += seconds * (1 / (1 - share + share * now) - 1 / (1 - share + share * before));
    }

    void spend(double seconds, long nowMs) {
        lostSeconds += seconds;
        lastSpentMs = nowMs;
    }

    boolean hasSpent() {
        return lostSeconds > 0;
    }

    /** Returns the observed gain less the observed cost, in seconds of step time. */
    double balanceSeconds() {
        return savedSeconds - lostSeconds;
    }

    /** Returns the step time that further moves may cost, in seconds. */
    double availableSeconds(long nowMs) {
        if (lostSeconds == 0) {
            return Math.max(allowanceSeconds, savedSeconds);
        }
        double trickle = IN_DEBT_SHARE * (nowMs - lastSpentMs) / 1000.0;
        return Math.max(trickle, balanceSeconds());
    }
}
