package org.kingcuproad.gateway;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.kingcuproad.policy.quarantine.PromptQuarantine;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/**
 * Keeps prompts that crash upstreams away from the upstreams of one service.
 *
 * <p>A gateway sees only its own requests, so it reports the prompts that it lost to the other gateways, several times
 * because datagrams may be lost, and they report which parts they have seen answered. Each gateway decides with what it
 * knows; decisions are reported too and kept in the store.
 */
final class PromptCrashGuard {

    /** Interval of reports after a crash. */
    private static final long REPORT_INTERVAL_MS = 100;

    /** Time after a crash for which it is reported. */
    private static final long REPORT_DURATION_MS = 2_000;

    /** Interval of reports while there are only quarantines, which gateways that start need to learn. */
    private static final long QUARANTINE_REPORT_INTERVAL_MS = 1_000;

    /** Time after a crash in which the other gateways report their lost requests and answered parts. */
    private static final long COLLECTION_MS = 100;

    /** Interval at which the evidence is judged again, since parts may have been answered and memories expire. */
    private static final long JUDGE_INTERVAL_MS = 1_000;

    private final String service;
    private final Environment environment;
    private final PromptQuarantine quarantine = new PromptQuarantine();
    private final Map<UpstreamCrash.Incarnation, UpstreamCrash> ownCrashes = new LinkedHashMap<>();
    private final Set<QuarantinedPrompt> stored = new HashSet<>();
    private long nextReportMs;
    private long nextJudgementMs;
    private Set<Set<String>> knownQuarantines = Set.of();
    private boolean decided;

    /** What the guard needs from its gateway. */
    interface Environment {

        /** Returns whether other gateways are known. */
        boolean hasPeers();

        /** Sends a report to all other gateways. */
        void broadcast(String service, PromptQuarantine quarantine, List<UpstreamCrash> ownCrashes);

        void save(QuarantinedPrompt prompt);

        void delete(QuarantinedPrompt prompt);

        /** Logs a decision of this gateway. */
        void onQuarantined(QuarantinedPrompt prompt, long crashes);
    }

    PromptCrashGuard(String service, Environment environment) {
        this.service = service;
        this.environment = environment;
    }

    /** Records requests that were lost when an upstream crashed. */
    void onCrash(UpstreamCrash.Incarnation upstream, List<List<String>> prompts, long nowMs) {
        Set<List<String>> lost = Set.copyOf(prompts);
        ownCrashes.merge(upstream, new UpstreamCrash(upstream, nowMs, lost), (known, added) -> known.withPrompts(lost));
        nextReportMs = nowMs;
        onEvidence(upstream, lost, nowMs);
    }

    private void onEvidence(UpstreamCrash.Incarnation upstream, Set<List<String>> prompts, long nowMs) {
        if (quarantine.onCrash(upstream, prompts, nowMs)) {
            nextReportMs = Math.min(nextReportMs, nowMs + REPORT_INTERVAL_MS);
            nextJudgementMs = Math.min(nextJudgementMs, nowMs + (environment.hasPeers() ? COLLECTION_MS : 0));
        }
    }

    /** Records a request that was answered completely. */
    void onAnswered(List<String> prompt, long nowMs) {
        if (!prompt.isEmpty()) {
            quarantine.onAnswered(prompt, nowMs);
        }
    }

    /** Takes over what another gateway reports. */
    void onReport(CrashReport report, long nowMs) {
        quarantine.onPeerAnswers(report.sender(), report.answers(), report.provenParts(), nowMs);
        report.lostPrompts().forEach((upstream, prompts) -> onEvidence(upstream, prompts, nowMs));
        report.quarantineAgesMs().forEach((parts, ageMs) -> quarantine.adopt(parts, nowMs - ageMs));
    }

    /** Takes over a quarantine from the store. */
    void onStored(QuarantinedPrompt prompt, long nowMs) {
        stored.add(prompt);
        quarantine.adopt(prompt.parts(), nowMs);
    }

    /**
     * Returns the remaining time of the quarantine of a prompt in milliseconds, or empty if it may be sent.
     *
     * @param prompt shared prompt parts of a request
     */
    OptionalLong quarantinedForMs(List<String> prompt, long nowMs) {
        return quarantine.remainingMs(prompt, nowMs);
    }

    /**
     * Judges the evidence and sends a report, where these are due.
     *
     * @return whether there are quarantines that were not in force at the last call
     */
    boolean sweep(long nowMs) {
        if (nowMs >= nextJudgementMs) {
            judge(nowMs);
        }
        if (nowMs >= nextReportMs) {
            report(nowMs);
        }
        Set<Set<String>> inForce = quarantine.quarantined().keySet();
        boolean added = !knownQuarantines.containsAll(inForce);
        knownQuarantines = inForce;
        return added;
    }

    private void judge(long nowMs) {
        nextJudgementMs = nowMs + JUDGE_INTERVAL_MS;
        Set<Set<String>> found = quarantine.judge(nowMs);
        found.forEach(parts -> environment.onQuarantined(
                new QuarantinedPrompt(service, parts),
                quarantine.crashesSince(nowMs - PromptQuarantine.MEMORY_MS).size()));
        decided |= !found.isEmpty();
        synchronizeStore();
    }

    private void synchronizeStore() {
        Set<QuarantinedPrompt> inForce = quarantine.quarantined().keySet().stream()
                .map(parts -> new QuarantinedPrompt(service, parts))
                .collect(Collectors.toSet());
        stored.stream().filter(prompt -> !inForce.contains(prompt)).forEach(environment::delete);
        stored.retainAll(inForce);
        if (decided) {
            inForce.stream().filter(stored::add).forEach(environment::save);
        }
    }

    private void report(long nowMs) {
        ownCrashes.values().removeIf(crash -> nowMs - crash.atMs() > REPORT_DURATION_MS);
        boolean recent = !quarantine.crashesSince(nowMs - REPORT_DURATION_MS).isEmpty();
        nextReportMs = nowMs + (recent ? REPORT_INTERVAL_MS : QUARANTINE_REPORT_INTERVAL_MS);
        if (recent || !quarantine.quarantined().isEmpty()) {
            environment.broadcast(service, quarantine, List.copyOf(ownCrashes.values()));
        }
    }
}
