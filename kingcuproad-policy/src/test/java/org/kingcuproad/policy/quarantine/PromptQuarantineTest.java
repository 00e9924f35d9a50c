package org.kingcuproad.policy.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PromptQuarantineTest {

    /** Crashes after which the platform allows no more than three requests with the part. */
    private static final int TOLERATED_CRASHES = 5;

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private int crashes;

    private void answerOthers() {
        IntStream.range(0, 10).forEach(index -> quarantine.onAnswered(List.of("sound"), 0));
    }

    private void crash(long nowMs, List<String> prompt) {
        crashes++;
        quarantine.onCrash(new UpstreamCrash.Incarnation("u" + crashes, 0), Set.of(prompt), nowMs);
    }

    @Test
    void quarantinesAPartAfterThreeCrashes() {
        answerOthers();
        crash(0, List.of("sound", "bad"));
        crash(2_000, List.of("another", "bad"));
        assertThat(quarantine.judge(2_000)).isEmpty();
        crash(4_000, List.of("other", "bad"));

        assertThat(quarantine.judge(4_000)).containsExactly(Set.of("bad"));

        assertThat(quarantine.remainingMs(List.of("third", "bad"), 5_000)).hasValue(PromptQuarantine.MEMORY_MS - 1_000);
        assertThat(quarantine.remainingMs(List.of("sound"), 5_000)).isEmpty();
        assertThat(quarantine.judge(5_000)).as("the same crashes again").isEmpty();
    }

    /** Guards against a quarantine of everything by a gateway that has just started and has seen no answers yet. */
    @Test
    void quarantinesNothingBeforeRequestsWereAnswered() {
        crash(0, List.of("first"));
        crash(2_000, List.of("first"));
        crash(4_000, List.of("first"));
        assertThat(quarantine.judge(4_000)).isEmpty();

        quarantine.onPeerAnswers("g2", 10, List.of("first"), 4_100);

        assertThat(quarantine.judge(4_100))
                .as("another gateway has proven the part")
                .isEmpty();
    }

    @Test
    void liftsAQuarantineWhenItsPromptIsAnsweredAfterAll() {
        answerOthers();
        crash(0, List.of("a", "b"));
        crash(2_000, List.of("a", "b"));
        crash(4_000, List.of("a", "b"));
        quarantine.judge(4_000);

        quarantine.onAnswered(List.of("a"), 5_000);
        assertThat(quarantine.quarantined().keySet()).containsExactly(Set.of("b"));
        quarantine.onAnswered(List.of("b"), 6_000);

        assertThat(quarantine.quarantined()).isEmpty();
    }

    @Test
    void forgetsAQuarantineInTheEnd() {
        answerOthers();
        crash(0, List.of("bad"));
        crash(2_000, List.of("bad"));
        crash(4_000, List.of("bad"));
        quarantine.judge(4_000);
        quarantine.judge(4_000 + PromptQuarantine.MEMORY_MS + 1);
        assertThat(quarantine.remainingMs(List.of("bad"), 4_000 + PromptQuarantine.MEMORY_MS + 1))
                .isEmpty();
    }

    /** Guards against a quarantine that never ends because gateways report it to each other again and again. */
    @Test
    void doesNotProlongAQuarantineThatIsReportedAgain() {
        quarantine.adopt(Set.of("bad"), 1_000);
        quarantine.adopt(Set.of("bad"), 1_005);
        assertThat(quarantine.quarantined()).containsEntry(Set.of("bad"), 1_000L);
    }

    /**
     * Plays a service of twelve upstreams with sound requests, requests with a fatal part and crashes of other causes.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 60})
    void keepsTheFatalPartAwayAndSoundOnesServed(int firstParts) {
        for (int seed = 0; seed < 100; seed++) {
            play(seed, firstParts, true);
        }
    }

    /**
     * Plays crashes of other causes alone, from the start on, while most parts have not been answered yet. Guards
     * against a quarantine of parts that are lost with several of them by chance.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 20, 180})
    void servesSoundPartsWhileUpstreamsCrashForOtherCauses(int firstParts) {
        for (int seed = 0; seed < 100; seed++) {
            play(seed, firstParts, false);
        }
    }

    private static void play(int seed, int firstParts, boolean withFatalRequests) {
        Random random = new Random(seed);
        PromptQuarantine played = new PromptQuarantine();
        Map<Integer, List<List<String>>> running = new HashMap<>();
        Set<String> refusedSound = new HashSet<>();
        int fatalCrashes = 0;
        int incarnation = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += 25) {
            int upstream = random.nextInt(12);
            boolean fatal = withFatalRequests && nowMs > 10_000 && random.nextInt(20) == 0;
            boolean otherCause = random.nextInt(withFatalRequests ? 400 : 150) == 0;
            String first = "f" + random.nextInt(firstParts);
            List<String> prompt = fatal ? List.of(first, "bad") : List.of(first);
            boolean refused = played.remainingMs(prompt, nowMs).isPresent();
            if (refused && !fatal) {
                refusedSound.add(first);
            }
            List<List<String>> inProgress = running.computeIfAbsent(upstream, unused -> new ArrayList<>());
            if (!refused) {
                inProgress.add(prompt);
            }
            if ((fatal && !refused) || otherCause) {
                fatalCrashes += fatal && !refused ? 1 : 0;
                incarnation++;
                played.onCrash(new UpstreamCrash.Incarnation("u" + incarnation, nowMs), Set.copyOf(inProgress), nowMs);
                inProgress.clear();
            } else if (inProgress.size() > 3) {
                played.onAnswered(inProgress.removeFirst(), nowMs);
            }
            played.judge(nowMs);
        }
        assertThat(fatalCrashes).as("crashes by the fatal part, seed %d", seed).isLessThanOrEqualTo(TOLERATED_CRASHES);
        assertThat(refusedSound).as("refused sound parts, seed %d", seed).isEmpty();
    }
}
