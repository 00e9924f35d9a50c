package org.kingcuproad.experiment.lockstep;

/**
 * A group of engines in lock-step. A pass runs some token steps for all writing requests and reads prompts between
 * them; it lasts as long as the most loaded rank needs.
 *
 * @param ranks engines of the group
 * @param slots requests that an engine works on at the same time
 * @param stepMs least length of a token step, in milliseconds
 * @param stepPerRequestMs growth of a step for each writing request, in milliseconds
 * @param readTokensPerMs prompt tokens that are read in a millisecond
 * @param chunkTokens most prompt tokens that are read in one step
 * @param stride token steps of a pass
 * @param expertShare share of the work that the experts do, which follows the most loaded rank of the map
 * @param imbalance load of the most loaded rank of the map; 1 is the mean
 */
public record EngineModel(
        int ranks,
        int slots,
        double stepMs,
        double stepPerRequestMs,
        double readTokensPerMs,
        int chunkTokens,
        int stride,
        double expertShare,
        double imbalance) {

    /** The group of the users' sheet, with a map as the planner usually leaves it. */
    public static final EngineModel SHEET = new EngineModel(12, 8, 5.85, 0.355, 61.2, 512, 5, 0.85, 1.2);

    /** A group of 24 ranks whose engines emit events of 7 tokens. */
    public static final EngineModel LARGE_GROUP = new EngineModel(24, 7, 5.85, 0.355, 61.2, 512, 7, 0.85, 1.2);

    /**
     * Returns the time that one rank's own part of a pass takes.
     *
     * @param writing requests that write
     * @param readTokens prompt tokens read in the pass
     * @return the time in milliseconds
     */
    double rankMs(int writing, int readTokens) {
        return stride * (stepMs + stepPerRequestMs * writing) + readTokens / readTokensPerMs;
    }

    /**
     * Returns the length of a pass.
     *
     * @param slowestMs longest part of a rank, in milliseconds
     * @param meanMs mean part of the ranks, in milliseconds
     * @return the length in milliseconds
     */
    double passMs(double slowestMs, double meanMs) {
        return (1 - expertShare) * slowestMs + expertShare * Math.max(slowestMs, imbalance * meanMs);
    }
}
