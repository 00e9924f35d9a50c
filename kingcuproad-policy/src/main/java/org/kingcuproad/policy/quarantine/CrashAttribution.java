package org.kingcuproad.policy.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Attributes crashes of upstreams to the prompt parts that the requests lost there have in common.
 *
 * <p>It answers the load in which a few requests each crash the upstream that begins to answer them, while many sound
 * requests, some with the same other parts, are lost with them.
 */
public final class CrashAttribution {

    /**
     * Number of crashes with the same part that chance rarely explains. Two crashes often have a popular part in
     * common, above all while a gateway has seen few answers.
     */
    private static final int MIN_CRASHES = 3;

    /**
     * A part explains crashes only if it was lost with at least one in this many of all crashes of that time; a part
     * that many requests have is lost with some of the crashes that have other causes.
     */
    private static final int MAX_CRASHES_PER_EXPLAINED = 2;

    private CrashAttribution() {}

    private record Candidate(Set<String> parts, List<UpstreamCrash> crashes) {}

    /**
     * Finds the combinations of prompt parts that explain crashes best.
     *
     * <p>A combination holds all parts that the lost requests with the suspected part have in common, except proven
     * ones, so that requests which share only some of them are not affected.
     *
     * @param crashes crashes that no known combination explains
     * @param proven whether requests with a part are known to be answered
     * @return the combinations, empty if the evidence does not suffice
     */
    public static Set<Set<String>> attribute(Collection<UpstreamCrash> crashes, Predicate<String> proven) {
        List<Candidate> candidates = crashes.stream()
                .flatMap(crash -> crash.prompts().stream())
                .flatMap(List::stream)
                .distinct()
                .filter(proven.negate())
                .map(part -> candidate(part, crashes, proven))
                .filter(candidate -> explainsEnough(candidate, crashes))
                .toList();
        int most = candidates.stream()
                .mapToInt(candidate -> candidate.crashes.size())
                .max()
                .orElse(0);
        Set<Set<String>> best = candidates.stream()
                .filter(candidate -> candidate.crashes.size() == most)
                .map(Candidate::parts)
                .collect(Collectors.toSet());
        return best.stream()
                .filter(parts -> best.stream().noneMatch(other -> isProperSubset(parts, other)))
                .collect(Collectors.toSet());
    }

    private static Candidate candidate(String part, Collection<UpstreamCrash> crashes, Predicate<String> proven) {
        List<UpstreamCrash> explained = crashes.stream()
                .filter(crash -> crash.prompts().stream().anyMatch(prompt -> prompt.contains(part)))
                .toList();
        Set<String> common = explained.stream()
                .flatMap(crash -> crash.prompts().stream())
                .filter(prompt -> prompt.contains(part))
                .map(prompt -> prompt.stream().filter(proven.negate()).collect(Collectors.toSet()))
                .reduce(CrashAttribution::intersection)
                .orElseGet(Set::of);
        return new Candidate(common, explained);
    }

    private static boolean explainsEnough(Candidate candidate, Collection<UpstreamCrash> crashes) {
        int explained = candidate.crashes.size();
        if (explained < MIN_CRASHES) {
            return false;
        }
        LongSummaryStatistics timesMs =
                candidate.crashes.stream().mapToLong(UpstreamCrash::atMs).summaryStatistics();
        long inThatTime = crashes.stream()
                .filter(crash -> crash.atMs() >= timesMs.getMin() && crash.atMs() <= timesMs.getMax())
                .count();
        return (long) explained * MAX_CRASHES_PER_EXPLAINED >= inThatTime;
    }

    private static Set<String> intersection(Set<String> first, Set<String> second) {
        Set<String> common = new HashSet<>(first);
        common.retainAll(second);
        return common;
    }

    private static boolean isProperSubset(Set<String> parts, Set<String> other) {
        return other.size() > parts.size() && other.containsAll(parts);
    }
}
