package org.kingcuproad.policy.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * One agent's view of the claim log of a shard: which segments exist, what they hold and how to append.
 *
 * <p>Nothing can be appended beyond an unsealed last segment, and a sealed segment never changes. So a view that ends
 * in an unsealed segment, or in a sealed one without a successor, is complete at the time it was read, and a
 * conditional write that succeeds proves that it still was complete. The last segment is never deleted, so sequence
 * numbers never start again.
 */
final class ClaimLog {

    /** How long after the retention a segment is deleted; covers wall clocks of agents that differ. */
    static final long EXPIRY_MARGIN_MS = 60_000;

    /** Stands for the last segment of an empty log: the first write creates segment 1. */
    private static final Segment NONE = Segment.empty(0).seal();

    private enum Phase {
        /** The segments are not listed. */
        UNREAD,
        /** Listed segments are being read. */
        READING,
        /** The view was complete at {@link #viewAtMs}. */
        READY
    }

    /**
     * What is known of a segment.
     *
     * @param version its version when it was read or written
     * @param lastWrittenAtMs time of its last batch
     */
    private record SegmentInfo(long version, long lastWrittenAtMs) {}

    private final ClaimShardSettings settings;
    private final ClaimIndex index = new ClaimIndex();
    private final TreeMap<Long, SegmentInfo> segments = new TreeMap<>();
    private final Deque<Long> toRead = new ArrayDeque<>();
    private Phase phase = Phase.UNREAD;
    private boolean refresh;
    private long tailSequence;
    private Segment tail = NONE;
    private @Nullable Segment written;
    private long viewAtMs;

    ClaimLog(ClaimShardSettings settings) {
        this.settings = settings;
    }

    ClaimIndex index() {
        return index;
    }

    /** Time at which the view was last known to be complete. */
    long viewAtMs() {
        return viewAtMs;
    }

    boolean complete() {
        return phase == Phase.READY && !refresh;
    }

    /** Makes the next read look for batches of other agents, or of an own write whose response was lost. */
    void requestRefresh() {
        refresh = true;
    }

    /** Forgets the view, so that the log is listed and read again. */
    void forget() {
        phase = Phase.UNREAD;
        refresh = false;
    }

    /**
     * A view older than half the retention may miss segments that were made and deleted since; a create could then
     * succeed at a number that is not the end of the log.
     */
    boolean viewTooOld(long nowMs) {
        return phase == Phase.READY && nowMs - viewAtMs > settings.retentionMs() / 2;
    }

    /** Age of the claims of a segment is past half the retention, so another agent may soon delete them. */
    boolean nearExpiry(long segment, long nowMs) {
        SegmentInfo info = segments.get(segment);
        return info == null || nowMs - info.lastWrittenAtMs() > settings.retentionMs() / 2;
    }

    /** The read that completes the view; empty if it is complete. */
    Optional<StoreCall> nextRead() {
        return switch (phase) {
            case UNREAD -> Optional.of(new StoreCall.ListKeys(settings.prefix()));
            case READING -> Optional.of(read(toRead.getFirst()));
            case READY ->
                refresh ? Optional.of(read(tail.sealed() ? tailSequence + 1 : tailSequence)) : Optional.empty();
        };
    }

    /**
     * Takes the result of {@link #nextRead}.
     *
     * @return {@code false} if the store gave no usable answer
     */
    boolean onRead(StoreResult result, long startedMs) {
        return switch (result) {
            case StoreResult.Listed listed -> onListed(listed.keys(), startedMs);
            case StoreResult.Found found -> onFound(found, startedMs);
            case StoreResult.Missing ignored -> onMissing(startedMs);
            case StoreResult.Written ignored -> false;
            case StoreResult.Conflict ignored -> false;
            case StoreResult.Uncertain ignored -> false;
        };
    }

    /** Builds the write that appends a batch to the view. */
    StoreCall write(SegmentBatch batch, long nowMs) {
        boolean next = tail.sealed();
        Segment base = next ? Segment.empty(nowMs) : tail;
        Segment appended = base.append(batch);
        boolean seal = appended.sizeBytes() >= settings.segmentBytes()
                || nowMs - base.createdAtMs() >= settings.segmentAgeMs();
        written = seal ? appended.seal() : appended;
        if (next) {
            return new StoreCall.Create(settings.objectKey(tailSequence + 1), written.encode());
        }
        SegmentInfo info = segments.get(tailSequence);
        return new StoreCall.Update(
                settings.objectKey(tailSequence), written.encode(), info == null ? 0 : info.version());
    }

    /**
     * Takes the result of a write.
     *
     * @return {@code true} if the batch is in the log and the view was complete without it
     */
    boolean onWritten(StoreResult result, StoreCall call, SegmentBatch batch, long startedMs, long nowMs) {
        Segment segment = written;
        if (!(result instanceof StoreResult.Written success) || segment == null) {
            refresh = true;
            return false;
        }
        if (viewTooOld(nowMs)) {
            forget();
            return false;
        }
        if (call instanceof StoreCall.Create) {
            tailSequence++;
        }
        tail = segment;
        segments.put(tailSequence, new SegmentInfo(success.version(), batch.writtenAtMs()));
        index.add(batch, tailSequence);
        viewAtMs = startedMs;
        return true;
    }

    /** The delete of the oldest segment whose claims have all expired. */
    Optional<StoreCall> nextDelete(long nowMs) {
        Map.Entry<Long, SegmentInfo> oldest = segments.firstEntry();
        if (phase != Phase.READY || oldest == null || oldest.getKey() >= tailSequence) {
            return Optional.empty();
        }
        long ageMs = nowMs - oldest.getValue().lastWrittenAtMs();
        return ageMs < settings.retentionMs() + EXPIRY_MARGIN_MS
                ? Optional.empty()
                : Optional.of(new StoreCall.Delete(
                        settings.objectKey(oldest.getKey()), oldest.getValue().version()));
    }

    void onDeleted(StoreResult result) {
        if (!(result instanceof StoreResult.Uncertain) && segments.size() > 1) {
            index.drop(segments.firstKey());
            segments.remove(segments.firstKey());
        }
    }

    StoreCall read(long sequence) {
        return new StoreCall.Read(settings.objectKey(sequence));
    }

    /** Looks an outcome up in the last segment, which needs no read. */
    Optional<Outcome> outcomeInTail(ClaimKey key, long segment) {
        return segment == tailSequence ? outcomeIn(tail, key) : Optional.empty();
    }

    static Optional<Outcome> outcomeIn(Segment segment, ClaimKey key) {
        return segment.batches().stream()
                .flatMap(List::stream)
                .flatMap(batch -> batch.outcomes().stream())
                .filter(entry -> entry.key().equals(key))
                .map(SegmentBatch.OutcomeEntry::outcome)
                .findFirst();
    }

    private boolean onListed(List<String> keys, long startedMs) {
        index.clear();
        segments.clear();
        toRead.clear();
        keys.stream().map(settings::sequenceOf).sorted().forEach(toRead::addLast);
        tail = NONE;
        tailSequence = 0;
        if (toRead.isEmpty()) {
            complete(startedMs);
        } else {
            phase = Phase.READING;
        }
        return true;
    }

    private boolean onFound(StoreResult.Found found, long startedMs) {
        Optional<Segment> segment = Segment.decode(found.value());
        Optional<List<SegmentBatch>> batches = segment.flatMap(Segment::batches);
        if (batches.isEmpty()) {
            return false;
        }
        boolean reading = phase == Phase.READING;
        long sequence = reading ? toRead.removeFirst() : tail.sealed() ? tailSequence + 1 : tailSequence;
        batches.get().forEach(batch -> index.add(batch, sequence));
        long lastWrittenAtMs = batches.get().stream()
                .mapToLong(SegmentBatch::writtenAtMs)
                .max()
                .orElse(segment.get().createdAtMs());
        segments.put(sequence, new SegmentInfo(found.version(), lastWrittenAtMs));
        tailSequence = sequence;
        tail = segment.get();
        if (toRead.isEmpty()) {
            phase = Phase.READY;
            refresh = tail.sealed();
            viewAtMs = tail.sealed() ? viewAtMs : startedMs;
        }
        return true;
    }

    private boolean onMissing(long startedMs) {
        if (phase == Phase.READY && tail.sealed()) {
            complete(startedMs);
        } else if (phase == Phase.READING && toRead.size() > 1) {
            toRead.removeFirst();
        } else {
            forget();
        }
        return true;
    }

    private void complete(long startedMs) {
        phase = Phase.READY;
        refresh = false;
        viewAtMs = startedMs;
    }
}
