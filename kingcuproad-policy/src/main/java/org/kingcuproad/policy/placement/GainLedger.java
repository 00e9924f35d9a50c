package org.kingcuproad.policy.placement;

/**
 * Account of the step time saved against the first map and of the step time lost to moves.
 *
 * <p>Predicted gains may fail to arrive, for example when the load flips just after each change. Spending is therefore
 * bound to gains that have been observed, apart from one allowance for the first plan.
 */
final class GainLedger {

    private final ExpertMap reference;
    private final double expertShareOfStep;
    private final double allowanceSeconds;
    private double savedSeconds;
    private double lostSeconds;

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
        savedSeconds += seconds * ((1 - share + share * before) / (1 - share + share * now) - 1);
    }

    void spend(double seconds) {
        lostSeconds += seconds;
    }

    /** Returns the observed gain less the observed cost, in seconds of step time. */
    double balanceSeconds() {
        return savedSeconds - lostSeconds;
    }

    /** Returns the step time that further moves may cost, in seconds. */
    double availableSeconds() {
        return lostSeconds == 0 ? Math.max(allowanceSeconds, savedSeconds) : Math.max(0, balanceSeconds());
    }
}
