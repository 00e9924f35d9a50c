package org.kingcuproad.experiment.placement;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Results of all policies on one input and group, with the comparisons that the targets need.
 *
 * @param group name of the group
 * @param input name of the input
 * @param seed seed of the run
 * @param results the results by policy
 */
public record PlacementReport(String group, String input, long seed, List<PolicyResult> results) {

    private static final String HEADER =
            "group,input,seed,policy,skew,skew_whole_run,skew_over_clairvoyant,bytes,bytes_over_periodic,"
                    + "pieces,steps_lost,net_gain_steps,net_gain_share";

    /** Copies the list, so that the value is immutable. */
    public PlacementReport {
        results = List.copyOf(results);
    }

    /**
     * Returns the names of the columns.
     *
     * @return the first line of the CSV file
     */
    public static String header() {
        return HEADER;
    }

    /**
     * Returns the results as lines of a CSV file; a comparison with a policy that did not run is left empty.
     *
     * @return one line a policy
     */
    public List<String> lines() {
        return results.stream().map(this::line).toList();
    }

    private String line(PolicyResult result) {
        return String.join(
                ",",
                group,
                input,
                Long.toString(seed),
                result.policy(),
                format(4, result.skew()),
                format(4, result.wholeSkew()),
                ratio(result.skew(), find(PolicyKind.CLAIRVOYANT).map(PolicyResult::skew)),
                Long.toString(result.bytes()),
                ratio(result.bytes(), find(PolicyKind.PERIODIC).map(other -> (double) other.bytes())),
                Integer.toString(result.pieces()),
                format(0, result.stepsLost()),
                find(PolicyKind.STATIC)
                        .map(other -> format(0, result.steps() - other.steps()))
                        .orElse(""),
                find(PolicyKind.STATIC)
                        .map(other -> format(4, result.steps() / other.steps() - 1))
                        .orElse(""));
    }

    /**
     * Finds the result of a policy.
     *
     * @param kind the policy
     * @return its result, or empty if it did not run
     */
    public Optional<PolicyResult> find(PolicyKind kind) {
        return results.stream()
                .filter(result -> result.policy().equals(kind.label()))
                .findFirst();
    }

    private static String ratio(double value, Optional<Double> base) {
        return base.filter(divisor -> divisor > 0)
                .map(divisor -> format(4, value / divisor))
                .orElse("");
    }

    private static String format(int decimals, double value) {
        return String.format(Locale.ROOT, "%." + decimals + "f", value);
    }
}
