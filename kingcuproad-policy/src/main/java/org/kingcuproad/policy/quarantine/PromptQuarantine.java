package org.kingcuproad.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Remembers crashes of the upstreams of one service and the prompt parts that were answered, and quarantines prompts
 * that crash upstreams.
 *
 * <p>A part is proven once a request with it was answered completely; a proven part is never quarantined. Nothing is
 * quarantined before some requests were answered, because until then no part is proven. A quarantine ends after a fixed
 * time, since the upstreams may have been mended, or as soon as a request with all its parts is answered after all.
 */
public final class PromptQuarantine {

    /**
     * Time for which crashes, proofs and quarantines are remembered. A prompt that still crashes upstreams costs three
     * crashes each time it is learned again.
     */
    public static final long MEMORY_MS = 600_000;

    /** Answered requests, of all gateways, before the absence of an answer to a part says anything. */
    private static final long MIN_ANSWERS = 10;

    private static final int MAX_CRASHES = 64;

    /** Maximum number of parts in the prompts of remembered crashes; the oldest crashes are forgotten beyond it. */
    private static final int MAX_CRASH_PARTS = 250_000;

    /** Some times the number of parts that the head of one request can carry. */
    private static final int MAX_PROVEN_PARTS = 32_768;

    private final Map<UpstreamCrash.Incarnation, UpstreamCrash> crashes = new LinkedHashMap<>();
    private final Map<String, Long> provenMs = new LinkedHashMap<>();
    private final Map<Set<String>, Long> quarantinedMs = new LinkedHashMap<>();
    private final Map<String, Long> peerAnswers = new LinkedHashMap<>();
    private long answers;

    /** Creates a quarantine without any memory. */
    public PromptQuarantine() {}

    /**
     * Records requests that were lost when an upstream crashed.
     *
     * @param upstream the process that crashed
     * @param prompts shared prompt parts of the requests
     * @param nowMs current time, in milliseconds
     * @return whether this was not known yet
     */
    public boolean onCrash(UpstreamCrash.Incarnation upstream, Set<List<String>> prompts, long nowMs) {
        UpstreamCrash known = crashes.get(upstream);
        if (known != null && known.prompts().containsAll(prompts)) {
            return false;
        }
        crashes.put(upstream, known == null ? new UpstreamCrash(upstream, nowMs, prompts) : known.withPrompts(prompts));
        while (crashes.size() > MAX_CRASHES || (crashes.size() > 1 && rememberedParts() > MAX_CRASH_PARTS)) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        return true;
    }

    private long rememberedParts() {
        return crashes.values().stream()
                .flatMap(crash -> crash.prompts().stream())
                .mapToLong(List::size)
                .sum();
    }

    /**
     * Records a request that was answered completely by an upstream.
     *
     * @param prompt shared prompt parts of the request
     * @param nowMs current time, in milliseconds
     */
    public void onAnswered(List<String> prompt, long nowMs) {
        answers++;
        prove(prompt, nowMs);
    }

    /**
     * Records what another gateway has seen answered.
     *
     * @param peer name of the gateway
     * @param answered number of requests that were answered since it started
     * @param parts proven parts
     * @param nowMs current time, in milliseconds
     */
    public void onPeerAnswers(String peer, long answered, Collection<String> parts, long nowMs) {
        peerAnswers.put(peer, answered);
        prove(parts, nowMs);
    }

    private void prove(Collection<String> parts, long nowMs) {
        parts.forEach(part -> {
            provenMs.remove(part);
            provenMs.put(part, nowMs);
        });
        while (provenMs.size() > MAX_PROVEN_PARTS) {
            provenMs.remove(provenMs.keySet().iterator().next());
        }
        Map<Set<String>, Long> refuted = quarantinedMs.entrySet().stream()
                .filter(entry -> parts.stream().anyMatch(entry.getKey()::contains))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        quarantinedMs.keySet().removeAll(refuted.keySet());
        refuted.forEach(this::adopt);
    }

    /**
     * Adds a quarantine that another gateway decided on.
     *
     * @param parts prompt parts of the quarantine
     * @param sinceMs time of the decision, in milliseconds
     */
    public void adopt(Set<String> parts, long sinceMs) {
        Set<String> unproven =
                parts.stream().filter(part -> !provenMs.containsKey(part)).collect(Collectors.toUnmodifiableSet());
        if (!unproven.isEmpty()) {
            quarantinedMs.merge(unproven, sinceMs, Math::min);
        }
    }

    /**
     * Forgets what is too old, and quarantines the prompts that the known crashes are attributed to.
     *
     * @param nowMs current time, in milliseconds
     * @return the new quarantines
     */
    public Set<Set<String>> judge(long nowMs) {
        crashes.values().removeIf(crash -> nowMs - crash.atMs() > MEMORY_MS);
        provenMs.values().removeIf(atMs -> nowMs - atMs > MEMORY_MS);
        quarantinedMs.values().removeIf(sinceMs -> nowMs - sinceMs > MEMORY_MS);
        if (answers + peerAnswers.values().stream().mapToLong(Long::longValue).sum() < MIN_ANSWERS) {
            return Set.of();
        }
        List<UpstreamCrash> unexplained = crashes.values().stream()
                .filter(crash -> crash.prompts().stream().noneMatch(this::isQuarantined))
                .toList();
        Set<Set<String>> found = CrashAttribution.attribute(unexplained, provenMs::containsKey);
        found.forEach(parts -> quarantinedMs.put(Set.copyOf(parts), nowMs));
        return found;
    }

    private boolean isQuarantined(List<String> prompt) {
        Set<String> parts = new HashSet<>(prompt);
        return quarantinedMs.keySet().stream().anyMatch(parts::containsAll);
    }

    /**
     * Returns whether a prompt must not be sent to upstreams.
     *
     * @param prompt shared prompt parts of a request
     * @param nowMs current time, in milliseconds
     * @return remaining time of the quarantine in milliseconds, or empty if the prompt may be sent
     */
    public OptionalLong remainingMs(List<String> prompt, long nowMs) {
        if (quarantinedMs.isEmpty() || prompt.isEmpty()) {
            return OptionalLong.empty();
        }
        Set<String> parts = new HashSet<>(prompt);
        return quarantinedMs.entrySet().stream()
                .filter(entry -> parts.containsAll(entry.getKey()))
                .mapToLong(entry -> Math.max(0, entry.getValue() + MEMORY_MS - nowMs))
                .max();
    }

    /**
     * Returns the quarantines in force.
     *
     * @return the parts of each quarantine, with the time of the decision in milliseconds
     */
    public Map<Set<String>, Long> quarantined() {
        return Map.copyOf(quarantinedMs);
    }

    /**
     * Returns the crashes since a point in time.
     *
     * @param sinceMs the time, in milliseconds
     * @return the crashes, oldest first
     */
    public List<UpstreamCrash> crashesSince(long sinceMs) {
        return crashes.values().stream()
                .filter(crash -> crash.atMs() >= sinceMs)
                .toList();
    }

    /**
     * Returns the proven parts among those that other gateways may suspect.
     *
     * @param suspects crashes from which the parts are taken
     * @return proven parts of the crashes' prompts and of the quarantines
     */
    public List<String> provenAmong(Collection<UpstreamCrash> suspects) {
        return Stream.concat(
                        suspects.stream()
                                .flatMap(crash -> crash.prompts().stream())
                                .flatMap(List::stream),
                        new ArrayList<>(quarantinedMs.keySet()).stream().flatMap(Set::stream))
                .distinct()
                .filter(provenMs::containsKey)
                .toList();
    }

    /**
     * Returns the number of requests that were answered.
     *
     * @return the number since the start of this process
     */
    public long answers() {
        return answers;
    }
}
