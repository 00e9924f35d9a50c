package org.kingcuproad.policy.placement;

/**
 * Limits the step time lost to moves by the step time saved, which is measured relative to the initial map.
 *
 * <p>Predicted gains may not materialise, for example when the load changes back just after each move. The cost of
 * moves is therefore limited to gains that have been observed, apart from an initial allowance for the first plan.
 */
final class MoveBudget {

    /**
     * Share of time that moves may cost while gains do not cover them; without it, a bad map would never be replaced.
     */
    private static final double MIN_COST_SHARE = 0.002;

    private final ExpertMap initialMap;
    private final double expertShareOfStep;
    private final double initialAllowanceSeconds;
    private double savedSeconds;
    private double lostSeconds;
    private long lastCostMs;

    MoveBudget(ExpertMap initialMap, double expertShareOfStep, double initialAllowanceSeconds) {
        this.initialMap = initialMap;
        this.expertShareOfStep = expertShareOfStep;
        this.initialAllowanceSeconds = initialAllowanceSeconds;
    }

    void recordSavings(ExpertMap map, LoadSample sample, double seconds) {
        Scenario observed = new Scenario(1, sample.shares(), sample.slowness());
        double initialStepTime = observed.relativeStepTime(initialMap);
        double currentStepTime = observed.relativeStepTime(map);
        double share = expertShareOfStep;
        savedSeconds +=
                seconds * (1 / (1 - share + share * currentStepTime) - 1 / (1 - share + share * initialStepTime));
    }

    void recordCost(double seconds, long nowMs) {
        lostSeconds += seconds;
        lastCostMs = nowMs;
    }

    boolean hasCosts() {
        return lostSeconds > 0;
    }

    /** Returns the observed gain less the observed cost, in seconds of step time. */
    double balanceSeconds() {
        return savedSeconds - lostSeconds;
    }

    /** Returns the step time that further moves may cost, in seconds. */
    double availableSeconds(long nowMs) {
        if (lostSeconds == 0) {
            return Math.max(initialAllowanceSeconds, savedSeconds);
        }
        double minimumSeconds = MIN_COST_SHARE * (nowMs - lastCostMs) / 1000.0;
        return Math.max(minimumSeconds, balanceSeconds());
    }
}
