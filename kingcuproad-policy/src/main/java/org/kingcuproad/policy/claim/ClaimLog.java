package org.kingcuproad.policy.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * One agent's view of the claim log of a shard: the segments that exist, their contents, and how to append to them.
 *
 * <p>No segment is created after an unsealed one, and a sealed segment never changes. A view that ends in an unsealed
 * segment, or in a sealed one without a successor, was therefore complete when it was read, and a successful
 * conditional write proves that it was still complete. The last segment is never deleted, so sequence numbers are never
 * reused.
 */
final class ClaimLog {

    /**
     * Time between the end of the retention period and the deletion of a segment, in milliseconds; allows for clock
     * skew between agents.
     */
    static final long EXPIRY_MARGIN_MS = 60_000;

    /** Last segment of an empty log. It is sealed, so the first write creates segment 1. */
    private static final Segment EMPTY_LOG_TAIL = Segment.empty(0).seal();

    private enum Phase {
        /** The segments have not been listed. */
        UNREAD,
        /** Listed segments are being read. */
        READING,
        /** The view was complete at {@link #viewAtMs}. */
        READY
    }

    /**
     * Metadata of a segment.
     *
     * @param version its version when it was read or written
     * @param lastWrittenAtMs time of its last batch
     */
    private record SegmentInfo(long version, long lastWrittenAtMs) {}

    private final ClaimShardSettings settings;
    private final ClaimIndex index = new ClaimIndex();
    private final TreeMap<Long, SegmentInfo> segments = new TreeMap<>();
    private final Deque<Long> unreadSequences = new ArrayDeque<>();
    private Phase phase = Phase.UNREAD;
    private boolean refreshRequested;
    private long tailSequence;
    private Segment tail = EMPTY_LOG_TAIL;
    private @Nullable Segment writtenSegment;
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

    boolean isComplete() {
        return phase == Phase.READY && !refreshRequested;
    }

    /** Requests a read that finds batches of other agents and batches of own writes whose response was lost. */
    void requestRefresh() {
        refreshRequested = true;
    }

    /** Invalidates the view, so that the log is listed and read again. */
    void invalidate() {
        phase = Phase.UNREAD;
        refreshRequested = false;
    }

    /**
     * Returns whether the view is older than half the retention period. Such a view may miss segments that have been
     * created and deleted since, and a create could then succeed at a sequence number that is not the end of the log.
     */
    boolean isViewStale(long nowMs) {
        return phase == Phase.READY && nowMs - viewAtMs > settings.retentionMs() / 2;
    }

    /**
     * Returns whether the claims of a segment are older than half the retention period, so that another agent may soon
     * delete them.
     */
    boolean isNearExpiry(long segment, long nowMs) {
        SegmentInfo info = segments.get(segment);
        return info == null || nowMs - info.lastWrittenAtMs() > settings.retentionMs() / 2;
    }

    /** Returns the next read that is needed to complete the view, or empty if it is complete. */
    Optional<StoreCall> nextRead() {
        return switch (phase) {
            case UNREAD -> Optional.of(new StoreCall.ListKeys(settings.prefix()));
            case READING -> Optional.of(read(unreadSequences.getFirst()));
            case READY ->
                refreshRequested
                        ? Optional.of(read(tail.sealed() ? tailSequence + 1 : tailSequence))
                        : Optional.empty();
        };
    }

    /**
     * Handles the result of {@link #nextRead}.
     *
     * @return {@code false} if the store returned no usable result
     */
    boolean onRead(StoreResult result, long callStartedMs) {
        return switch (result) {
            case StoreResult.Listed listed -> onListed(listed.keys(), callStartedMs);
            case StoreResult.Found found -> onFound(found, callStartedMs);
            case StoreResult.Missing ignored -> onMissing(callStartedMs);
            case StoreResult.Written ignored -> false;
            case StoreResult.Conflict ignored -> false;
            case StoreResult.Uncertain ignored -> false;
        };
    }

    /** Builds the store call that appends a batch to the log. */
    StoreCall write(SegmentBatch batch, long nowMs) {
        boolean startsSegment = tail.sealed();
        Segment base = startsSegment ? Segment.empty(nowMs) : tail;
        Segment appended = base.append(batch);
        boolean seal = appended.sizeBytes() >= settings.segmentBytes()
                || nowMs - base.createdAtMs() >= settings.segmentAgeMs();
        writtenSegment = seal ? appended.seal() : appended;
        if (startsSegment) {
            return new StoreCall.Create(settings.objectKey(tailSequence + 1), writtenSegment.encode());
        }
        SegmentInfo info = segments.get(tailSequence);
        return new StoreCall.Update(
                settings.objectKey(tailSequence), writtenSegment.encode(), info == null ? 0 : info.version());
    }

    /**
     * Handles the result of a write.
     *
     * @return {@code true} if the batch is in the log and the view was complete without it
     */
    boolean onWritten(StoreResult result, StoreCall call, SegmentBatch batch, long callStartedMs, long nowMs) {
        Segment segment = writtenSegment;
        if (!(result instanceof StoreResult.Written success) || segment == null) {
            refreshRequested = true;
            return false;
        }
        if (isViewStale(nowMs)) {
            invalidate();
            return false;
        }
        if (call instanceof StoreCall.Create) {
            tailSequence++;
        }
        tail = segment;
        segments.put(tailSequence, new SegmentInfo(success.version(), batch.writtenAtMs()));
        index.add(batch, tailSequence);
        viewAtMs = callStartedMs;
        return true;
    }

    /** Returns the call that deletes the oldest segment if all its claims have expired. */
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
            index.removeSegment(segments.firstKey());
            segments.remove(segments.firstKey());
        }
    }

    StoreCall read(long sequence) {
        return new StoreCall.Read(settings.objectKey(sequence));
    }

    /** Looks up an outcome in the last segment, which is in memory. */
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

    private boolean onListed(List<String> keys, long callStartedMs) {
        index.clear();
        segments.clear();
        unreadSequences.clear();
        keys.stream().map(settings::sequenceOf).sorted().forEach(unreadSequences::addLast);
        tail = EMPTY_LOG_TAIL;
        tailSequence = 0;
        if (unreadSequences.isEmpty()) {
            markComplete(callStartedMs);
        } else {
            phase = Phase.READING;
        }
        return true;
    }

    private boolean onFound(StoreResult.Found found, long callStartedMs) {
        Optional<Segment> segment = Segment.decode(found.value());
        Optional<List<SegmentBatch>> batches = segment.flatMap(Segment::batches);
        if (batches.isEmpty()) {
            return false;
        }
        boolean reading = phase == Phase.READING;
        long sequence = reading ? unreadSequences.removeFirst() : tail.sealed() ? tailSequence + 1 : tailSequence;
        batches.get().forEach(batch -> index.add(batch, sequence));
        long lastWrittenAtMs = batches.get().stream()
                .mapToLong(SegmentBatch::writtenAtMs)
                .max()
                .orElse(segment.get().createdAtMs());
        segments.put(sequence, new SegmentInfo(found.version(), lastWrittenAtMs));
        tailSequence = sequence;
        tail = segment.get();
        if (unreadSequences.isEmpty()) {
            phase = Phase.READY;
            refreshRequested = tail.sealed();
            viewAtMs = tail.sealed() ? viewAtMs : callStartedMs;
        }
        return true;
    }

    private boolean onMissing(long callStartedMs) {
        if (phase == Phase.READY && tail.sealed()) {
            markComplete(callStartedMs);
        } else if (phase == Phase.READING && unreadSequences.size() > 1) {
            unreadSequences.removeFirst();
        } else {
            invalidate();
        }
        return true;
    }

    private void markComplete(long callStartedMs) {
        phase = Phase.READY;
        refreshRequested = false;
        viewAtMs = callStartedMs;
    }
}
