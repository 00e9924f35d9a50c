package org.kingcuproad.gateway;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the traffic of one seed showed.
 *
 * @param seed the seed
 * @param counts answers by kind
 * @param violations answers that no caller may get, each with its trace
 * @param lost answers that were lost although a single run wrote them to the end, with their traces
 * @param steadyFailures what clients of the sound service got instead of successes
 * @param longestWaitMs longest time that a request to the sound service waited, in milliseconds
 * @param undisturbedWaitMs longest time that one waited at a gateway without other traffic, in milliseconds
 */
record ShapedReport(
        long seed,
        Map<String, Integer> counts,
        List<String> violations,
        List<String> lost,
        List<String> steadyFailures,
        long longestWaitMs,
        long undisturbedWaitMs) {

    /** Returns for how long other traffic held the sound service up, without what the machine took, in milliseconds. */
    long heldUpMs() {
        return longestWaitMs - undisturbedWaitMs;
    }

    @Override
    public String toString() {
        return "seed " + seed + ": " + new TreeMap<>(counts) + ", violations " + violations.size() + ", lost "
                + lost.size() + ", longest wait " + longestWaitMs + " ms, at an undisturbed gateway "
                + undisturbedWaitMs
                + " ms, failures of the sound service " + steadyFailures;
    }
}
