package org.kingcuproad.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the guarantees of the router that callers in other packages rely on. */
class UpstreamRouterTest {

    private static final String GROUP = "drafting";
    private static final int LIMIT = 100;
    private static final RouterSettings SETTINGS = RouterSettings.defaults();
    private static final RequestFeatures REQUEST_WITHOUT_PREFIX =
            RequestFeatures.firstAttempt(GROUP, PromptPrefix.none(), "w");

    /**
     * Guards against H5: new requests for an upstream that has announced that it is leaving, whatever delayed or later
     * reports say.
     */
    @Property(seed = "1")
    void leavingUpstreamIsNeverChosen(@ForAll @Size(min = 1, max = 30) List<@IntRange(max = 20) Integer> sequences) {
        UpstreamRouter router = router(3, 1);
        router.onReport("u0", report(1, 20, 0, true), 0);
        long nowMs = 0;
        for (int sequence : sequences) {
            nowMs += 100;
            router.onReport("u0", report(1, sequence, 0, false), nowMs);
            router.onReport("u0", report(1, 30 + nowMs, 0, false), nowMs);
            assertThat(choose(router, REQUEST_WITHOUT_PREFIX, nowMs)).isNotEqualTo("u0");
        }
    }

    /** A popular prefix must not overload the upstream that has it cached. */
    @Property(seed = "2", tries = 200)
    void affinityStaysWithinTheLoadBound(@ForAll @Size(max = 150) List<@IntRange(max = 3) Integer> prefixFamilies) {
        int upstreams = 6;
        UpstreamRouter router = router(upstreams, 3);
        Map<String, Integer> loads = new HashMap<>();
        int total = 0;
        for (int family : prefixFamilies) {
            PromptPrefix prefix = PromptPrefix.ofHashes(family + 1, 100L * family + 7);
            RoutingDecision decision = router.choose(RequestFeatures.firstAttempt(GROUP, prefix, "w"), 0);
            if (decision instanceof RoutingDecision.Chosen chosen) {
                total++;
                int load = loads.merge(chosen.upstream(), 1, Integer::sum);
                if (chosen.reason() == ChoiceReason.PREFIX_AFFINITY || chosen.reason() == ChoiceReason.PREFIX_HOME) {
                    assertThat((double) load).isLessThanOrEqualTo(Math.ceil(1.25 * total / upstreams));
                }
                router.onDispatched(chosen.upstream(), prefix, 0);
            }
        }
    }

    /** A prompt must not be recomputed elsewhere while the upstream with its longest prefix has spare capacity. */
    @Test
    void affinityFollowsTheLongestPrefix() {
        UpstreamRouter router = router(6, 3);
        for (int request = 0; request < 48; request++) {
            router.onDispatched("u" + request % 6, PromptPrefix.none(), 0);
        }
        PromptPrefix prompt = PromptPrefix.ofHashes(1, 2, 3, 4);
        router.onDispatched("u2", PromptPrefix.ofHashes(1, 2), 0);
        router.onDispatched("u4", PromptPrefix.ofHashes(1, 2, 3), 0);
        assertThat(router.choose(RequestFeatures.firstAttempt(GROUP, prompt, "w"), 0))
                .isInstanceOfSatisfying(RoutingDecision.Chosen.class, chosen -> {
                    assertThat(chosen.upstream()).isEqualTo("u4");
                    assertThat(chosen.matchedBlocks()).isEqualTo(3);
                });
    }

    /** A readmitted upstream may still be faulty and must not receive its full share of traffic immediately. */
    @Test
    void readmittedUpstreamGetsAReducedShare() {
        UpstreamRouter router = router(4, 5);
        for (int failure = 0; failure < SETTINGS.failuresBeforeEjection(); failure++) {
            router.onDispatched("u0", PromptPrefix.none(), 0);
            router.onFinished("u0", Outcome.FAILED, 1, 0);
        }
        assertThat(countChosen(router, 0, SETTINGS.ejectionBaseMs() - 1, "u0")).isZero();
        // The maximum jitter is a quarter; at a tenth of the slow start the share may be a tenth, doubled here to allow
        // for random variation.
        long readmittedMs = SETTINGS.ejectionBaseMs() * 5 / 4;
        int fairCount = 1_000 / 4;
        assertThat(countChosen(router, readmittedMs, readmittedMs + 1_000, "u0"))
                .isBetween(1, fairCount / 5);
        long slowStartEndMs = readmittedMs + SETTINGS.slowStartMs();
        assertThat(countChosen(router, slowStartEndMs, slowStartEndMs + 1_000, "u0"))
                .isGreaterThan(fairCount / 2);
    }

    /** The back-off of an upstream that fails repeatedly must not stay short. */
    @Test
    void ejectionDurationGrowsExponentially() {
        UpstreamRouter router = router(2, 5);
        long nowMs = 0;
        for (int ejection = 0; ejection < 4; ejection++) {
            router.onFailure("u0", nowMs);
            long durationMs = SETTINGS.ejectionBaseMs() << ejection;
            assertThat(countChosen(router, nowMs, nowMs + durationMs - 1, "u0")).isZero();
            nowMs += durationMs * 5 / 4;
            assertThat(router.choose(REQUEST_WITHOUT_PREFIX, nowMs)).isInstanceOf(RoutingDecision.Chosen.class);
        }
    }

    /** The load must not revert when reports arrive out of order or from a previous incarnation. */
    @ParameterizedTest
    @CsvSource({"1,5,false", "1,4,false", "1,6,true", "2,1,true", "9,100,false"})
    void onlyNewerReportsAreAccepted(long incarnation, long sequence, boolean accepted) {
        UpstreamRouter router = router(1, 1);
        router.onReport("u0", report(9, 50, 1, false), 0);
        router.onReport("u0", report(1, 5, 10, false), 0);
        assertThat(router.onReport("u0", report(incarnation, sequence, 70, false), 0))
                .isEqualTo(accepted);
        assertThat(router.utilisation(GROUP)).isEqualTo((accepted ? 70.0 : 10.0) / LIMIT);
    }

    /** An upstream that was idle in a report from two seconds ago must not be flooded. */
    @Test
    void outdatedLoadReportIsCorrectedByOwnRequests() {
        UpstreamRouter router = router(2, 1);
        Map<String, Integer> loads = new HashMap<>(Map.of("u0", 0, "u1", 10));
        router.onReport("u0", reportMeasuredTwoSecondsAgo(0), 3_000);
        router.onReport("u1", reportMeasuredTwoSecondsAgo(10), 3_000);
        for (int request = 0; request < 40; request++) {
            String chosen = choose(router, REQUEST_WITHOUT_PREFIX, 3_000 + request);
            router.onDispatched(chosen, PromptPrefix.none(), 3_000 + request);
            loads.merge(chosen, 1, Integer::sum);
        }
        assertThat(loads.get("u0")).isBetween(15, 25);
    }

    /** Entries must not all send to the upstream that looks idle (thundering herd). */
    @Test
    void entriesDoNotAllChooseTheIdleUpstream() {
        int upstreams = 12;
        int entries = 100;
        int entriesChoosingIdleUpstream = 0;
        for (int entry = 0; entry < entries; entry++) {
            UpstreamRouter router = router(upstreams, entry);
            for (int index = 0; index < upstreams; index++) {
                router.onReport("u" + index, reportMeasuredTwoSecondsAgo(index == 0 ? 0 : 8), 3_000);
            }
            entriesChoosingIdleUpstream +=
                    choose(router, REQUEST_WITHOUT_PREFIX, 3_000).equals("u0") ? 1 : 0;
        }
        // Two candidates include a given one of twelve upstreams in a sixth of the draws; half as much again is allowed
        // for random variation.
        assertThat(entriesChoosingIdleUpstream).isLessThanOrEqualTo(entries * 2 / upstreams * 3 / 2);
    }

    /** A retry must not go to the upstream that just failed, and the reason must be reported if no upstream is left. */
    @Test
    void excludedUpstreamsAreNotChosen() {
        UpstreamRouter router = router(3, 1);
        for (int request = 0; request < 100; request++) {
            RequestFeatures retry = new RequestFeatures(GROUP, PromptPrefix.none(), "w", Set.of("u0", "u2"));
            assertThat(choose(router, retry, request)).isEqualTo("u1");
        }
        RequestFeatures allExcluded = new RequestFeatures(GROUP, PromptPrefix.none(), "w", Set.of("u0", "u1", "u2"));
        assertThat(router.choose(allExcluded, 0)).isEqualTo(new RoutingDecision.None(NoChoiceReason.ALL_EXCLUDED));
    }

    /**
     * If all upstreams are ejected, the outage must not last until the back-off ends, and an upstream that is leaving
     * must not be probed.
     */
    @Test
    void groupWithAllUpstreamsEjectedIsProbed() {
        UpstreamRouter router = router(3, 1);
        for (int index = 0; index < 3; index++) {
            router.onFailure("u" + index, index);
        }
        router.onReport("u0", report(1, 1, 0, true), 10);
        assertThat(router.choose(REQUEST_WITHOUT_PREFIX, 10))
                .isInstanceOfSatisfying(RoutingDecision.Chosen.class, chosen -> {
                    assertThat(chosen.reason()).isEqualTo(ChoiceReason.PROBE);
                    assertThat(chosen.upstream()).isNotEqualTo("u0");
                });
        assertThat(router.choose(REQUEST_WITHOUT_PREFIX, 11))
                .isEqualTo(new RoutingDecision.None(NoChoiceReason.NONE_AVAILABLE));
    }

    private static UpstreamRouter router(int upstreams, long seed) {
        UpstreamRouter router = UpstreamRouter.create(SETTINGS, "lowell", seed);
        router.update(
                IntStream.range(0, upstreams)
                        .mapToObj(index -> new RoutedUpstream("u" + index, "lowell", GROUP, LIMIT))
                        .toList(),
                0);
        return router;
    }

    private static LoadReport report(long incarnation, long sequence, int load, boolean leaving) {
        return new LoadReport(incarnation, sequence, load, 0, 0, leaving, 0, List.of());
    }

    private static LoadReport reportMeasuredTwoSecondsAgo(int load) {
        return new LoadReport(1, 1, load, 0, 0, false, 2_000, List.of());
    }

    private static String choose(UpstreamRouter router, RequestFeatures request, long nowMs) {
        return router.choose(request, nowMs) instanceof RoutingDecision.Chosen chosen ? chosen.upstream() : "none";
    }

    private static int countChosen(UpstreamRouter router, long fromMs, long toMs, String upstream) {
        int count = 0;
        for (long nowMs = fromMs; nowMs < toMs; nowMs++) {
            String chosen = choose(router, REQUEST_WITHOUT_PREFIX, nowMs);
            router.onDispatched(chosen, PromptPrefix.none(), nowMs);
            router.onFinished(chosen, Outcome.SUCCEEDED, 1, nowMs);
            count += chosen.equals(upstream) ? 1 : 0;
        }
        return count;
    }
}
