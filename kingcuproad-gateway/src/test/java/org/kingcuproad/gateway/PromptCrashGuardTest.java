package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.quarantine.PromptQuarantine;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/** Guards against each gateway having to lose upstreams of its own before it keeps a prompt away from them. */
class PromptCrashGuardTest {

    /** Gateways that pass reports to each other in their binary form. */
    private final Map<String, PromptCrashGuard> guards = new HashMap<>();

    private final Set<QuarantinedPrompt> stored = new HashSet<>();
    private final List<String> unreachable = new ArrayList<>();
    private final CrashReportReader reader = new CrashReportReader();
    private long nowMs;

    private final class FakeEnvironment implements PromptCrashGuard.Environment {

        private final String name;

        private FakeEnvironment(String name) {
            this.name = name;
        }

        @Override
        public boolean hasPeers() {
            return guards.size() > 1;
        }

        @Override
        public void broadcast(String service, PromptQuarantine quarantine, List<UpstreamCrash> ownCrashes) {
            CrashReport report = new CrashReport(
                    name,
                    service,
                    quarantine.answers(),
                    quarantine.quarantined().entrySet().stream()
                            .collect(Collectors.toMap(Map.Entry::getKey, entry -> nowMs - entry.getValue())),
                    ownCrashes.stream().collect(Collectors.toMap(UpstreamCrash::upstream, UpstreamCrash::prompts)),
                    quarantine.provenAmong(quarantine.crashesSince(0)));
            guards.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(name) && !unreachable.contains(entry.getKey()))
                    .forEach(entry -> CrashReportCodec.encode(report).stream()
                            .map(reader::read)
                            .forEach(read -> entry.getValue().onReport(read, nowMs)));
        }

        @Override
        public void save(QuarantinedPrompt prompt) {
            stored.add(prompt);
        }

        @Override
        public void delete(QuarantinedPrompt prompt) {
            stored.remove(prompt);
        }

        @Override
        public void onQuarantined(QuarantinedPrompt prompt, long crashes) {}
    }

    private PromptCrashGuard guard(String name) {
        PromptCrashGuard guard = new PromptCrashGuard("desk", new FakeEnvironment(name));
        guards.put(name, guard);
        return guard;
    }

    private void runUntil(long endMs) {
        for (; nowMs < endMs; nowMs += 25) {
            List.copyOf(guards.values()).forEach(guard -> guard.sweep(nowMs));
        }
    }

    private void crash(PromptCrashGuard guard, String upstream, List<String> prompt) {
        guard.onCrash(new UpstreamCrash.Incarnation(upstream, 1), List.of(prompt), nowMs);
    }

    private void crashThreeTimes(PromptCrashGuard first, PromptCrashGuard second) {
        for (int index = 0; index < 10; index++) {
            first.onAnswered(List.of("first"), nowMs);
        }
        crash(first, "u1", List.of("first", "bad"));
        runUntil(2_000);
        crash(first, "u3", List.of("first", "bad"));
        runUntil(5_000);
        crash(second, "u2", List.of("first", "bad"));
        runUntil(5_300);
    }

    @Test
    void learnsFromCrashesThatOtherGatewaysSaw() {
        PromptCrashGuard first = guard("g1");
        PromptCrashGuard second = guard("g2");
        PromptCrashGuard third = guard("g3");

        crashThreeTimes(first, second);

        assertThat(third.quarantinedForMs(List.of("other", "bad"), nowMs)).isPresent();
        assertThat(third.quarantinedForMs(List.of("first"), nowMs))
                .as("only g1 has seen it answered")
                .isEmpty();
    }

    /** Guards against a part that is not reported because the prompts have many, all of which may be new. */
    @Test
    void learnsOfAPartAmongHundredsThatOtherGatewaysLost() {
        PromptCrashGuard first = guard("g1");
        PromptCrashGuard second = guard("g2");
        PromptCrashGuard third = guard("g3");
        for (int index = 0; index < 10; index++) {
            first.onAnswered(List.of("first"), nowMs);
        }
        crash(first, "u1", manyParts("a"));
        runUntil(2_000);
        crash(second, "u2", manyParts("b"));
        runUntil(4_000);
        crash(first, "u3", manyParts("c"));
        runUntil(4_300);

        assertThat(third.quarantinedForMs(manyParts("d"), nowMs)).isPresent();
        assertThat(third.quarantinedForMs(List.of("first", "a1", "b1", "c1"), nowMs))
                .isEmpty();
    }

    private static List<String> manyParts(String prefix) {
        return Stream.concat(
                        Stream.of("first"),
                        IntStream.range(0, 600).mapToObj(index -> index == 500 ? "bad" : prefix + index))
                .toList();
    }

    @Test
    void learnsFromLaterReportsIfTheFirstOnesWereLost() {
        PromptCrashGuard first = guard("g1");
        PromptCrashGuard second = guard("g2");
        PromptCrashGuard third = guard("g3");
        unreachable.add("g3");
        crashThreeTimes(first, second);
        assertThat(third.quarantinedForMs(List.of("bad"), nowMs)).isEmpty();

        unreachable.clear();
        runUntil(nowMs + 1_000);

        assertThat(third.quarantinedForMs(List.of("bad"), nowMs)).isPresent();
    }

    /** Guards against leaving requests at upstreams that a quarantine of another gateway concerns. */
    @Test
    void tellsOnceWhenAnotherGatewayHasDecided() {
        PromptCrashGuard restarted = guard("g1");
        restarted.onReport(new CrashReport("g2", "desk", 10, Map.of(Set.of("bad"), 50L), Map.of(), List.of()), nowMs);

        assertThat(restarted.sweep(nowMs)).isTrue();
        assertThat(restarted.sweep(nowMs + 25)).isFalse();
    }

    /** Guards against forgetting a quarantine when all gateways restart at the same time. */
    @Test
    void restoresQuarantinesFromTheStore() {
        crashThreeTimes(guard("g1"), guard("g2"));
        guards.clear();

        PromptCrashGuard restarted = guard("g1");
        stored.forEach(prompt -> restarted.onStored(prompt, nowMs));

        assertThat(restarted.quarantinedForMs(List.of("other", "bad"), nowMs)).isPresent();
    }

    @Test
    void removesQuarantinesFromTheStoreWhenTheyEnd() {
        crashThreeTimes(guard("g1"), guard("g2"));
        assertThat(stored).containsExactly(new QuarantinedPrompt("desk", Set.of("bad")));

        runUntil(nowMs + PromptQuarantine.MEMORY_MS + 2_000);

        assertThat(stored).isEmpty();
    }
}
