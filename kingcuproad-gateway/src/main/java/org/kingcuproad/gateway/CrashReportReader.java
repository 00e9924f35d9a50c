package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/**
 * Reads the datagrams of crash reports, and joins the pieces of prompts that take several datagrams.
 *
 * <p>Reports are repeated, so a piece that was lost arrives later.
 */
final class CrashReportReader {

    /** Maximum number of parts of incomplete prompts; the oldest prompts are forgotten beyond it. */
    private static final int MAX_PENDING_PARTS = 100_000;

    /** Maximum number of parts of one prompt. */
    private static final int MAX_PROMPT_PARTS = MAX_PENDING_PARTS / 4;

    private final Map<Key, Pending> pending = new LinkedHashMap<>();
    private int pendingParts;

    private record Key(
            String sender,
            String service,
            int kind,
            Optional<UpstreamCrash.Incarnation> upstream,
            long identity,
            int size) {}

    private static final class Pending {

        private final @Nullable String[] parts;
        private int missing;

        private Pending(int size) {
            parts = new @Nullable String[size];
            missing = size;
        }

        private void put(int index, String part) {
            if (parts[index] == null) {
                parts[index] = part;
                missing--;
            }
        }

        private List<String> whole() {
            return Arrays.stream(parts).map(Objects::requireNonNull).toList();
        }
    }

    /**
     * Reads a datagram.
     *
     * @return what the sender reports, with the prompts whose last piece is in this datagram
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    CrashReport read(ByteBuf message) {
        message.skipBytes(1);
        String sender = DatagramText.read(message);
        String service = DatagramText.read(message);
        long answers = message.readInt();
        Map<Set<String>, Long> quarantineAgesMs = new HashMap<>();
        Map<UpstreamCrash.Incarnation, Set<List<String>>> lostPrompts = new HashMap<>();
        List<String> provenParts = new ArrayList<>();
        while (message.isReadable()) {
            int kind = message.readUnsignedByte();
            switch (kind) {
                case CrashReportCodec.QUARANTINE -> {
                    long ageMs = message.readInt();
                    readPiece(message, sender, service, kind, Optional.empty())
                            .ifPresent(parts -> quarantineAgesMs.put(Set.copyOf(parts), ageMs));
                }
                case CrashReportCodec.LOST_PROMPT -> {
                    UpstreamCrash.Incarnation upstream =
                            new UpstreamCrash.Incarnation(DatagramText.read(message), message.readLong());
                    readPiece(message, sender, service, kind, Optional.of(upstream))
                            .ifPresent(parts -> lostPrompts
                                    .computeIfAbsent(upstream, unused -> new HashSet<>())
                                    .add(parts));
                }
                case CrashReportCodec.PROVEN_PARTS -> {
                    message.skipBytes(Long.BYTES + Integer.BYTES + Integer.BYTES);
                    provenParts.addAll(readTexts(message));
                }
                default -> throw new IndexOutOfBoundsException("unknown kind of record: " + kind);
            }
        }
        return new CrashReport(sender, service, answers, quarantineAgesMs, lostPrompts, provenParts);
    }

    private Optional<List<String>> readPiece(
            ByteBuf message, String sender, String service, int kind, Optional<UpstreamCrash.Incarnation> upstream) {
        Key key = new Key(sender, service, kind, upstream, message.readLong(), message.readInt());
        int start = message.readInt();
        List<String> texts = readTexts(message);
        if (start == 0 && texts.size() == key.size) {
            return Optional.of(texts);
        }
        if (key.size > MAX_PROMPT_PARTS || start < 0 || start > key.size - texts.size()) {
            throw new IndexOutOfBoundsException("a piece of " + texts.size() + " parts outside its prompt");
        }
        Pending prompt = pending.computeIfAbsent(key, this::addPending);
        forgetOldest();
        for (int index = 0; index < texts.size(); index++) {
            prompt.put(start + index, texts.get(index));
        }
        if (prompt.missing > 0) {
            return Optional.empty();
        }
        pending.remove(key);
        pendingParts -= key.size;
        return Optional.of(prompt.whole());
    }

    private Pending addPending(Key key) {
        pendingParts += key.size;
        return new Pending(key.size);
    }

    private void forgetOldest() {
        var keys = pending.keySet().iterator();
        while (pendingParts > MAX_PENDING_PARTS) {
            pendingParts -= keys.next().size;
            keys.remove();
        }
    }

    private static List<String> readTexts(ByteBuf message) {
        List<String> texts = new ArrayList<>();
        for (int left = message.readUnsignedShort(); left > 0; left--) {
            texts.add(DatagramText.read(message));
        }
        return texts;
    }
}
