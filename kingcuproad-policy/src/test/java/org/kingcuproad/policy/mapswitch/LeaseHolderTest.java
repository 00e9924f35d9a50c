package org.kingcuproad.policy.mapswitch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.claim.StoreCall;
import org.kingcuproad.policy.claim.StoreResult;
import org.kingcuproad.policy.stream.Bytes;

/**
 * Guards against two simultaneous holders and against a lease that no candidate takes over after its holder has
 * stopped.
 */
class LeaseHolderTest {

    private Bytes value = Bytes.EMPTY;
    private long version;

    private StoreResult apply(StoreCall call) {
        return switch (call) {
            case StoreCall.Create create -> version == 0 ? write(create.value()) : new StoreResult.Conflict();
            case StoreCall.Update update ->
                version == update.version() ? write(update.value()) : new StoreResult.Conflict();
            default -> version == 0 ? new StoreResult.Missing() : new StoreResult.Found(value, version);
        };
    }

    private StoreResult write(Bytes written) {
        value = written;
        return new StoreResult.Written(++version);
    }

    /**
     * Runs two candidates with lost calls, lost responses and pauses of up to 40 s, and returns how often one of them
     * held the lease.
     */
    private int run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        value = Bytes.EMPTY;
        version = 0;
        LeaseHolder[] holders = {new LeaseHolder("l", "one", 0), new LeaseHolder("l", "two", 0)};
        long[] pausedUntilMs = new long[2];
        Set<Long> tokens = new HashSet<>();
        int held = 0;
        for (long nowMs = 0; nowMs < 200_000; nowMs += 100) {
            int holding = 0;
            for (int i = 0; i < 2; i++) {
                pausedUntilMs[i] = random.nextInt(500) == 0 ? nowMs + random.nextInt(40_000) : pausedUntilMs[i];
                holding += holders[i].token(nowMs).isPresent() ? 1 : 0;
                if (nowMs < pausedUntilMs[i]) {
                    continue;
                }
                Optional<StoreCall> call = holders[i].tick(nowMs);
                if (call.isPresent() && random.nextInt(10) > 0) {
                    StoreResult result = apply(call.get());
                    if (random.nextInt(10) > 0) {
                        holders[i].onResult(call.get(), result, nowMs);
                    }
                }
                holders[i].token(nowMs).ifPresent(tokens::add);
            }
            assertThat(holding).as("seed %d at %d", seed, nowMs).isLessThanOrEqualTo(1);
            held += holding;
        }
        assertThat(tokens.size()).isPositive();
        return held;
    }

    @Test
    void atMostOneCandidateHoldsTheLeaseAndUsuallyOneDoes() {
        long held = 0;
        for (long seed = 0; seed < 300; seed++) {
            held += run(seed);
        }
        System.out.println("figure lease held " + held * 100 / (300 * 2_000) + " % of the time");
        assertThat(held).isGreaterThan(300 * 2_000 / 2);
    }
}
