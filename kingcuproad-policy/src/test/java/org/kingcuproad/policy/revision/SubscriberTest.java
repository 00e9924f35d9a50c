package org.kingcuproad.policy.revision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The document must never revert, and a process that receives no relay messages must read the store. */
class SubscriberTest {

    @Test
    void revisionNeverDecreases() {
        RevisionGate gate = new RevisionGate();
        SplittableRandom random = new SplittableRandom(3);
        long current = 0;
        for (int i = 0; i < 10_000; i++) {
            long offered = random.nextInt(1_000);
            assertThat(gate.admit(offered)).isEqualTo(offered > current);
            current = Math.max(current, offered);
            assertThat(gate.revision()).isEqualTo(current);
        }
    }

    @Test
    void storeIsReadThreeToFourSecondsAfterTheLastRelayMessageAndAgain() {
        for (long seed = 0; seed < 100; seed++) {
            RevisionGate gate = new RevisionGate();
            gate.admit(1);
            Subscriber subscriber = new Subscriber(gate, List.of(), seed, 0);
            subscriber.updateRelays(List.of("a", "b"), 0);
            subscriber.onRelayMessage("a", 1_000);
            int reads = 0;
            for (long nowMs = 1_000; nowMs < 9_000; nowMs += 50) {
                if (subscriber.tick(nowMs).contains(new SubscriberAction.ReadStore())) {
                    assertThat(nowMs).isGreaterThanOrEqualTo(4_000);
                    reads++;
                }
                assertThat(reads == 0 && nowMs > 5_100).isFalse();
            }
            assertThat(reads).isBetween(1, 2);
        }
    }

    @Test
    void storeAndPeersAreQueriedImmediatelyWithoutADocument() {
        Subscriber subscriber = new Subscriber(new RevisionGate(), List.of("p", "q"), 1, 0);
        assertThat(subscriber.tick(0))
                .containsExactly(new SubscriberAction.ReadStore(), new SubscriberAction.RequestFromPeer("p"));
        assertThat(subscriber.updateRelays(List.of("a", "b"), 0)).hasSize(2);
        assertThat(subscriber.updateRelays(List.of("b", "c"), 1))
                .containsExactly(new SubscriberAction.Unsubscribe("a"), new SubscriberAction.Subscribe("c"));
    }

    @Test
    void failureOfOneRelayKeepsTheOther() {
        List<String> entries = List.of("e1", "e2", "e3", "e4");
        List<String> chosen = RelaySelector.select("env", "dc", entries);
        List<String> remaining = entries.stream()
                .filter(entry -> !entry.equals(chosen.getFirst()))
                .toList();
        assertThat(chosen).hasSize(2);
        assertThat(RelaySelector.select("env", "dc", remaining)).contains(chosen.getLast());
    }
}
