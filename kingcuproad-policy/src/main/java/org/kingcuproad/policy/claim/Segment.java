package org.kingcuproad.policy.claim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.stream.Bytes;

/**
 * One object of a claim log, in its serialised form.
 *
 * <p>Layout, big-endian: format version (1 byte), flags (1 byte, bit 0: sealed), creation time (8 bytes), then batches
 * to the end. A batch has its write time (8), incarnation (8), upstream (2 + UTF-8), number of claims (4), claims (key
 * 16, digest 8), number of outcomes (4), outcomes (key 16, status 2, body digest 8, body kept 1, body 2 + bytes).
 * Appending a batch does not decode the existing ones.
 */
final class Segment {

    static final byte FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = 10;
    private static final byte SEALED_FLAG = 1;

    private final byte[] encoded;

    private Segment(byte[] encoded) {
        this.encoded = encoded;
    }

    static Segment empty(long createdAtMs) {
        return new Segment(ByteBuffer.allocate(HEADER_BYTES)
                .put(FORMAT_VERSION)
                .put((byte) 0)
                .putLong(createdAtMs)
                .array());
    }

    /**
     * Decodes the header of a segment. Returns empty for an unknown format version, so that a newer format is never
     * overwritten.
     */
    static Optional<Segment> decode(Bytes value) {
        byte[] array = value.toArray();
        return array.length >= HEADER_BYTES && array[0] == FORMAT_VERSION
                ? Optional.of(new Segment(array))
                : Optional.empty();
    }

    Bytes encode() {
        return Bytes.wrap(encoded);
    }

    int sizeBytes() {
        return encoded.length;
    }

    boolean sealed() {
        return (encoded[1] & SEALED_FLAG) != 0;
    }

    long createdAtMs() {
        return ByteBuffer.wrap(encoded).getLong(2);
    }

    Segment append(SegmentBatch batch) {
        byte[] upstream = batch.upstream().getBytes(StandardCharsets.UTF_8);
        int outcomeBytes = batch.outcomes().stream()
                .mapToInt(entry -> 29 + entry.outcome().body().length())
                .sum();
        int size = 8 + 8 + 2 + upstream.length + 4 + 24 * batch.claims().size() + 4 + outcomeBytes;
        ByteBuffer out = ByteBuffer.allocate(encoded.length + size);
        out.put(encoded).putLong(batch.writtenAtMs()).putLong(batch.incarnation());
        out.putShort((short) upstream.length).put(upstream);
        out.putInt(batch.claims().size());
        batch.claims().forEach(claim -> putKey(out, claim.key()).putLong(claim.requestDigest()));
        out.putInt(batch.outcomes().size());
        batch.outcomes().forEach(entry -> putOutcome(out, entry));
        return new Segment(out.array());
    }

    Segment seal() {
        byte[] copy = encoded.clone();
        copy[1] |= SEALED_FLAG;
        return new Segment(copy);
    }

    /** Decodes the batches; returns empty if the bytes are truncated or corrupt. */
    Optional<List<SegmentBatch>> batches() {
        ByteBuffer in = ByteBuffer.wrap(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
        List<SegmentBatch> batches = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                batches.add(readBatch(in));
            }
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
        return Optional.of(batches);
    }

    private static SegmentBatch readBatch(ByteBuffer in) {
        long writtenAtMs = in.getLong();
        long incarnation = in.getLong();
        String upstream = new String(readBytes(in, Short.toUnsignedInt(in.getShort())), StandardCharsets.UTF_8);
        int claimCount = checkedCount(in, 24);
        List<SegmentBatch.ClaimEntry> claims = new ArrayList<>(claimCount);
        for (int i = 0; i < claimCount; i++) {
            claims.add(new SegmentBatch.ClaimEntry(readKey(in), in.getLong()));
        }
        int outcomeCount = checkedCount(in, 29);
        List<SegmentBatch.OutcomeEntry> outcomes = new ArrayList<>(outcomeCount);
        for (int i = 0; i < outcomeCount; i++) {
            outcomes.add(readOutcome(in));
        }
        return new SegmentBatch(writtenAtMs, upstream, incarnation, claims, outcomes);
    }

    private static SegmentBatch.OutcomeEntry readOutcome(ByteBuffer in) {
        ClaimKey key = readKey(in);
        int status = Short.toUnsignedInt(in.getShort());
        long digest = in.getLong();
        boolean bodyKept = in.get() != 0;
        Bytes body = Bytes.wrap(readBytes(in, Short.toUnsignedInt(in.getShort())));
        return new SegmentBatch.OutcomeEntry(key, new Outcome(status, digest, bodyKept, body));
    }

    private static int checkedCount(ByteBuffer in, int entryBytes) {
        int count = in.getInt();
        if (count < 0 || (long) count * entryBytes > in.remaining()) {
            throw new IllegalArgumentException("count " + count + " exceeds the remaining bytes of the segment");
        }
        return count;
    }

    private static byte[] readBytes(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private static ClaimKey readKey(ByteBuffer in) {
        return new ClaimKey(in.getLong(), in.getLong());
    }

    private static ByteBuffer putKey(ByteBuffer out, ClaimKey key) {
        return out.putLong(key.high()).putLong(key.low());
    }

    private static void putOutcome(ByteBuffer out, SegmentBatch.OutcomeEntry entry) {
        Outcome outcome = entry.outcome();
        putKey(out, entry.key()).putShort((short) outcome.status()).putLong(outcome.bodyDigest());
        out.put((byte) (outcome.bodyKept() ? 1 : 0));
        out.putShort((short) outcome.body().length()).put(outcome.body().asByteBuffer());
    }
}
