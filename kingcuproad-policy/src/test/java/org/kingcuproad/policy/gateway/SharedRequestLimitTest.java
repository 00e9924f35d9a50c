package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways that together send an upstream more than it announces, and against using less of it. */
class SharedRequestLimitTest {

    private static final long WINDOW_MS = 4_000;
    private static final long DELAY_MS = 2;
    private static final long REPEAT_MS = 50;

    @Test
    void allowsEverythingWithoutAnAnnouncement() {
        SharedRequestLimit limit = new SharedRequestLimit();
        IntStream.range(0, 100).forEach(index -> {
            assertThat(limit.allows(1, 0)).isTrue();
            limit.onSend();
        });
    }

    @Test
    void allowsEverythingAgainWhenTheAnnouncementEnds() {
        SharedRequestLimit limit = new SharedRequestLimit();
        limit.onAnnounced(OptionalDouble.of(1), 0, 0);
        assertThat(limit.allows(1, 10)).isFalse();

        assertThat(limit.onAnnounced(OptionalDouble.empty(), 20, 20)).isTrue();

        assertThat(limit.allows(1, 20)).isTrue();
    }

    /** Guards against a limit that comes back because another gateway reports an older response. */
    @Test
    void ignoresOlderAnnouncements() {
        SharedRequestLimit limit = new SharedRequestLimit();
        limit.onAnnounced(OptionalDouble.empty(), 100, 100);
        assertThat(limit.onAnnounced(OptionalDouble.of(1), 90, 110)).isFalse();
        assertThat(limit.allows(1, 110)).isTrue();
    }

    /** Guards against an upstream that is never asked again, so that nobody learns that its limit has ended. */
    @Test
    void stillSendsARequestNowAndThenIfNothingIsAccepted() {
        SharedRequestLimit limit = new SharedRequestLimit();
        limit.onAnnounced(OptionalDouble.of(0), 0, 0);
        assertThat(limit.allows(1, 2_000)).isFalse();
        assertThat(limit.allows(1, 4_000)).isTrue();
    }

    @Test
    void countsARestartedPeerFromItsNewStart() {
        SharedRequestLimit limit = new SharedRequestLimit();
        limit.onAnnounced(OptionalDouble.of(10), 0, 0);
        limit.onPeerSends("g2", 50);
        limit.onPeerSends("g2", 3);
        assertThat(limit.allows(1, 100)).isTrue();
    }

    @Test
    void leavesTheShareOfSilentGatewaysUnused() {
        SharedRequestLimit limit = new SharedRequestLimit();
        limit.onAnnounced(OptionalDouble.of(1), 0, 0);
        assertThat(limit.allows(0.5, 1_500)).isFalse();
        assertThat(limit.allows(0.5, 2_000)).isTrue();
    }

    /**
     * Plays gateways that would send far more than the limit. They report each request at once, and what they have sent
     * every 50 ms; a twentieth of the datagrams is lost. The platform tolerates one and a half times the limit and five
     * more requests in any four seconds.
     */
    @ParameterizedTest
    @CsvSource({"0.3, 6", "1.3, 6", "5, 6", "40, 6", "1.5, 24", "8, 24", "1.5, 2", "1.5, 1"})
    void keepsAllGatewaysTogetherWithinTheLimit(double perSecond, int gateways) {
        for (int seed = 0; seed < 20; seed++) {
            List<Long> arrivalsMs = play(perSecond, gateways, new Random(seed));
            double allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
            for (long firstMs : arrivalsMs) {
                long inWindow = arrivalsMs.stream()
                        .filter(atMs -> atMs >= firstMs && atMs < firstMs + WINDOW_MS)
                        .count();
                assertThat((double) inWindow)
                        .as("requests from %d ms, seed %d", firstMs, seed)
                        .isLessThanOrEqualTo(allowed);
            }
            assertThat((double) arrivalsMs.size())
                    .as("use of the limit in 30 s, seed %d", seed)
                    .isGreaterThan(0.8 * perSecond * 30);
        }
    }

    private static List<Long> play(double perSecond, int gateways, Random random) {
        List<SharedRequestLimit> limits = IntStream.range(0, gateways)
                .mapToObj(index -> new SharedRequestLimit())
                .toList();
        limits.forEach(limit -> limit.onAnnounced(OptionalDouble.of(perSecond), 0, 0));
        List<Long> arrivalsMs = new ArrayList<>();
        Set<Integer> unreported = new HashSet<>();
        for (long nowMs = 1; nowMs <= 30_000; nowMs++) {
            if (nowMs % DELAY_MS == 0) {
                unreported.forEach(from -> report(limits, from, random));
                unreported.clear();
            }
            for (int index = 0; index < gateways; index++) {
                SharedRequestLimit limit = limits.get(index);
                if (random.nextInt(50) == 0 && limit.allows(1, nowMs)) {
                    limit.onSend();
                    arrivalsMs.add(nowMs);
                    unreported.add(index);
                }
                if (nowMs % REPEAT_MS == 0) {
                    report(limits, index, random);
                }
            }
        }
        return arrivalsMs;
    }

    private static void report(List<SharedRequestLimit> limits, int from, Random random) {
        IntStream.range(0, limits.size())
                .filter(to -> to != from && random.nextInt(20) > 0)
                .forEach(to ->
                        limits.get(to).onPeerSends("g" + from, limits.get(from).ownSends()));
    }
}
