package org.kingcuproad.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

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

    /** A prompt of a lost request without its proven parts, and the index of the crash with which it was lost. */
    private record LostPrompt(int crash, Set<String> parts) {}

    /** The lost prompts with a suspected part, as indexes, and the crashes with which they were lost. */
    private record Candidate(List<Integer> prompts, Set<Integer> crashes) {}

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
        List<UpstreamCrash> known = List.copyOf(crashes);
        List<LostPrompt> lost = IntStream.range(0, known.size())
                .boxed()
                .flatMap(crash -> known.get(crash).prompts().stream()
                        .map(prompt -> new LostPrompt(crash, unproven(prompt, proven))))
                .toList();
        Map<String, List<Integer>> promptsWith = new HashMap<>();
        for (int index = 0; index < lost.size(); index++) {
            for (String part : lost.get(index).parts) {
                promptsWith.computeIfAbsent(part, unused -> new ArrayList<>()).add(index);
            }
        }
        // Parts that occur in the same prompts are one candidate, since a prompt may have thousands of parts.
        List<Candidate> candidates = promptsWith.values().stream()
                .distinct()
                .map(prompts -> new Candidate(
                        prompts,
                        prompts.stream().map(index -> lost.get(index).crash).collect(Collectors.toSet())))
                .filter(candidate -> explainsEnough(candidate, known))
                .toList();
        int most = candidates.stream()
                .mapToInt(candidate -> candidate.crashes.size())
                .max()
                .orElse(0);
        Set<Set<String>> best = candidates.stream()
                .filter(candidate -> candidate.crashes.size() == most)
                .map(candidate -> commonParts(candidate, lost))
                .collect(Collectors.toSet());
        return best.stream()
                .filter(parts -> best.stream().noneMatch(other -> isProperSubset(parts, other)))
                .collect(Collectors.toSet());
    }

    private static Set<String> unproven(List<String> prompt, Predicate<String> proven) {
        return prompt.stream().filter(proven.negate()).collect(Collectors.toSet());
    }

    private static Set<String> commonParts(Candidate candidate, List<LostPrompt> lost) {
        return candidate.prompts.stream()
                .map(index -> lost.get(index).parts)
                .reduce(CrashAttribution::intersection)
                .orElseGet(Set::of);
    }

    private static boolean explainsEnough(Candidate candidate, List<UpstreamCrash> crashes) {
        int explained = candidate.crashes.size();
        if (explained < MIN_CRASHES) {
            return false;
        }
        LongSummaryStatistics timesMs = candidate.crashes.stream()
                .mapToLong(crash -> crashes.get(crash).atMs())
                .summaryStatistics();
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
