package org.kingcuproad.policy.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.stream.Bytes;

/**
 * Guards against exceeding the write rate, losing claims on recovery, claims that never expire and undetected segment
 * corruption.
 */
class ClaimShardTest {

    private final FakeStore store = new FakeStore(true);
    private final Map<String, ClaimDecision> decisions = new HashMap<>();
    private long nowMs = 1_000_000;

    private ClaimShard shard(long incarnation, int segmentBytes, int retentionMs) {
        return new ClaimShard(
                new ClaimShardSettings("e", 0, "u" + incarnation, incarnation, retentionMs, segmentBytes, 60_000));
    }

    /** Executes effects against a store that responds after 2 ms, until no effect is left. */
    private void carryOut(ClaimShard shard, List<ClaimEffect> effects) {
        List<ClaimEffect> remaining = new ArrayList<>(effects);
        while (!remaining.isEmpty()) {
            switch (remaining.removeFirst()) {
                case ClaimEffect.Decide decide -> decisions.put(decide.requestId(), decide.decision());
                case ClaimEffect.Call call -> {
                    nowMs += 2;
                    remaining.addAll(shard.onStoreResult(call.callId(), store.apply(call.call()), nowMs));
                }
            }
        }
    }

    private void submit(ClaimShard shard, String key) {
        carryOut(shard, shard.submit(new ClaimRequest(key + nowMs, ClaimKey.of("w", key), 1), nowMs));
    }

    private void advanceTo(ClaimShard shard, long untilMs) {
        while (nowMs < untilMs) {
            carryOut(shard, shard.tick(nowMs));
            nowMs = Math.max(nowMs + 1, Math.min(untilMs, shard.nextTickMs()));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {16 * 1024, ClaimShardSettings.SEGMENT_BYTES, 256 * 1024})
    void thirtyFourRequestsPerSecondNeedAtMostEightWritesPerSecond(int segmentBytes) {
        ClaimShard shard = shard(1, segmentBytes, 3_600_000);
        SplittableRandom random = new SplittableRandom(5);
        long startMs = nowMs;
        for (int i = 0; i < 34 * 120; i++) {
            advanceTo(shard, startMs + i * 1_000L / 34);
            submit(shard, "key" + i);
            byte[] body = new byte[300];
            random.nextBytes(body);
            carryOut(
                    shard,
                    shard.recordOutcome(
                            ClaimKey.of("w", "key" + (i - 30)), Outcome.of(200, 1, Bytes.wrap(body)), nowMs));
        }
        double seconds = (nowMs - startMs) / 1_000.0;
        System.out.printf(
                "figure segment %d: %.1f writes/s, %.0f bytes/s, %d segments%n",
                segmentBytes, store.writeCount / seconds, store.writtenBytes / seconds, store.objects.size());
        assertThat(store.writeCount / seconds).isLessThanOrEqualTo(8.1);
        assertThat(decisions).hasSizeGreaterThan(34 * 120 - 10);
        assertThat(decisions.values()).allMatch(ClaimDecision.RunNow.class::isInstance);
        ClaimShard successor = shard(2, segmentBytes, 3_600_000);
        advanceTo(successor, nowMs + 1_000);
        assertThat(successor.claimCount()).isEqualTo(shard.claimCount());
    }

    @Test
    void successorReturnsStoredOutcomeAndRefusesKeyReuse() {
        ClaimShard first = shard(1, 200, 3_600_000);
        submit(first, "a");
        carryOut(
                first,
                first.recordOutcome(ClaimKey.of("w", "a"), Outcome.of(201, 9, Bytes.wrap(new byte[] {4})), nowMs));
        advanceTo(first, nowMs + 2_000);
        for (int i = 0; i < 30; i++) {
            submit(first, "filler" + i);
            advanceTo(first, nowMs + 200);
        }
        assertThat(store.objects).hasSizeGreaterThan(3);
        ClaimShard second = shard(2, 200, 3_600_000);
        carryOut(second, second.submit(new ClaimRequest("r", ClaimKey.of("w", "a"), 1), nowMs));
        carryOut(second, second.submit(new ClaimRequest("s", ClaimKey.of("w", "a"), 2), nowMs));
        carryOut(second, second.submit(new ClaimRequest("t", ClaimKey.of("w", "filler1"), 1), nowMs));
        assertThat(decisions.get("r"))
                .isEqualTo(new ClaimDecision.Stored(Outcome.of(201, 9, Bytes.wrap(new byte[] {4}))));
        assertThat(decisions.get("s")).isEqualTo(new ClaimDecision.Refuse(ErrorKind.KEY_REUSED));
        assertThat(decisions.get("t")).isEqualTo(new ClaimDecision.AskClaimant("u1", 1));
    }

    @Test
    void deletesExpiredSegmentsExceptTheLast() {
        ClaimShard shard = shard(1, 100, 100_000);
        for (int i = 0; i < 20; i++) {
            submit(shard, "key" + i);
            advanceTo(shard, nowMs + 500);
        }
        assertThat(store.objects).hasSizeGreaterThan(5);
        advanceTo(shard, nowMs + 100_000 + ClaimLog.EXPIRY_MARGIN_MS + 60_000);
        assertThat(store.objects).hasSize(1);
        submit(shard, "key0");
        advanceTo(shard, nowMs + 500);
        assertThat(store.objects.keySet()).allMatch(key -> !key.endsWith("000000000001"));
    }

    @Test
    void refusesNewRequestsDuringStoreOutage() {
        ClaimShard shard = shard(1, 1_000, 3_600_000);
        submit(shard, "a");
        List<ClaimEffect> effects = shard.submit(new ClaimRequest("x", ClaimKey.of("w", "b"), 1), nowMs + 500);
        assertThat(effects).hasSize(1);
        shard.tick(nowMs + 1_500);
        assertThat(shard.tick(nowMs + 2_500))
                .contains(new ClaimEffect.Decide("x", new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE)));
        assertThat(shard.submit(new ClaimRequest("y", ClaimKey.of("w", "c"), 1), nowMs + 2_600))
                .containsExactly(new ClaimEffect.Decide("y", new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE)));
    }

    @Property(tries = 200, seed = "11")
    void segmentsRoundTripAndTruncationIsDetected(@ForAll byte[] body, @ForAll long high, @ForAll boolean seal) {
        Outcome outcome = Outcome.of(200, high, Bytes.wrap(body));
        SegmentBatch batch = new SegmentBatch(
                5,
                "upstream",
                high,
                List.of(new SegmentBatch.ClaimEntry(new ClaimKey(high, 2), 3)),
                List.of(new SegmentBatch.OutcomeEntry(new ClaimKey(high, 2), outcome)));
        Segment segment = Segment.empty(4).append(batch).append(batch);
        Segment read =
                Segment.decode((seal ? segment.seal() : segment).encode()).orElseThrow();
        assertThat(read.batches()).contains(List.of(batch, batch));
        assertThat(read.sealed()).isEqualTo(seal);
        Bytes cut = segment.encode().slice(0, segment.sizeBytes() - 1);
        assertThat(Segment.decode(cut).flatMap(Segment::batches)).isEmpty();
    }

    @Test
    void indexRemovesOneSegmentAndKeepsTheOthers() {
        SplittableRandom random = new SplittableRandom(12);
        ClaimIndex index = new ClaimIndex();
        Map<ClaimKey, Integer> expected = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            int segment = 1 + step / 500;
            ClaimKey key = new ClaimKey(random.nextInt(3), random.nextInt(5_000));
            index.add(new SegmentBatch(0, "u", 1, List.of(new SegmentBatch.ClaimEntry(key, 1)), List.of()), segment);
            expected.putIfAbsent(key, segment);
            if (step % 500 == 499 && segment > 4) {
                int removedSegment = segment - 4;
                index.removeSegment(removedSegment);
                expected.values().removeIf(value -> value == removedSegment);
                assertThat(index.size()).isEqualTo(expected.size());
                expected.forEach((held, value) ->
                        assertThat(index.claimSegment(index.find(held))).isEqualTo((long) value));
            }
        }
    }

    @Test
    void evictedRequestsAreNeverReportedAsNotRun() {
        ExecutionRecord agent = new ExecutionRecord(9, 5_000);
        int admitted = 0;
        for (int i = 0; !agent.full(); i++) {
            DispatchRequest request = new DispatchRequest("r" + i, 1, 9, false, "w", null, 0);
            assertThat(agent.dispatch(request, i)).isEqualTo(new DispatchDecision.Run());
            agent.finish("r" + i, Outcome.withoutResponse(), i);
            admitted++;
        }
        for (int i = 0; i < admitted; i++) {
            assertThat(agent.fence("r" + i, 1, 9, admitted)).isEqualTo(FenceDecision.RAN);
            assertThat(agent.dispatch(new DispatchRequest("r" + i, 1, 9, false, "w", null, 0), admitted))
                    .isInstanceOf(DispatchDecision.JoinFinished.class);
        }
        assertThat(agent.dispatch(new DispatchRequest("new", 1, 9, false, "w", null, 0), admitted))
                .isInstanceOfSatisfying(
                        DispatchDecision.Refuse.class,
                        refuse -> assertThat(refuse.kind()).isEqualTo(ErrorKind.OVERLOADED));
        assertThat(agent.fence("never", 1, 8, admitted)).isEqualTo(FenceDecision.UNKNOWN_INCARNATION);
        assertThat(agent.idle()).isTrue();
    }
}
