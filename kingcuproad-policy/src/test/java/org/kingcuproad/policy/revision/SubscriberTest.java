package org.kingcuproad.policy.revision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a document that reverts, and against processes that hear nothing and do not read the store. */
class SubscriberTest {

    @Test
    void revisionsNeverRevert() {
        RevisionGate gate = new RevisionGate();
        SplittableRandom random = new SplittableRandom(3);
        long before = 0;
        for (int i = 0; i < 10_000; i++) {
            long offered = random.nextInt(1_000);
            assertThat(gate.admit(offered)).isEqualTo(offered > before);
            before = Math.max(before, offered);
            assertThat(gate.revision()).isEqualTo(before);
        }
    }

    @Test
    void silenceLeadsToAReadWithinThreeToFourSecondsAndRepeats() {
        for (long seed = 0; seed < 100; seed++) {
            RevisionGate gate = new RevisionGate();
            gate.admit(1);
            Subscriber subscriber = new Subscriber(gate, List.of(), seed, 0);
            subscriber.relays(List.of("a", "b"), 0);
            subscriber.heard("a", 1_000);
            int reads = 0;
            for (long nowMs = 1_000; nowMs < 9_000; nowMs += 50) {
                if (subscriber.tick(nowMs).contains(new SubscriberEffect.ReadStore())) {
                    assertThat(nowMs).isGreaterThanOrEqualTo(4_000);
                    reads++;
                }
                assertThat(reads == 0 && nowMs > 5_100).isFalse();
            }
            assertThat(reads).isBetween(1, 2);
        }
    }

    @Test
    void withoutADocumentTheStoreAndThePeersAreAskedAtOnce() {
        Subscriber subscriber = new Subscriber(new RevisionGate(), List.of("p", "q"), 1, 0);
        assertThat(subscriber.tick(0))
                .containsExactly(new SubscriberEffect.ReadStore(), new SubscriberEffect.AskPeer("p"));
        assertThat(subscriber.relays(List.of("a", "b"), 0)).hasSize(2);
        assertThat(subscriber.relays(List.of("b", "c"), 1))
                .containsExactly(new SubscriberEffect.Unsubscribe("a"), new SubscriberEffect.Subscribe("c"));
    }

    @Test
    void aRelayThatDiesIsReplacedByTheNextOneOnly() {
        List<String> entries = List.of("e1", "e2", "e3", "e4");
        List<String> chosen = RelayChoice.choose("env", "dc", entries);
        List<String> rest = entries.stream()
                .filter(entry -> !entry.equals(chosen.getFirst()))
                .toList();
        assertThat(chosen).hasSize(2);
        assertThat(RelayChoice.choose("env", "dc", rest)).contains(chosen.getLast());
    }
}
