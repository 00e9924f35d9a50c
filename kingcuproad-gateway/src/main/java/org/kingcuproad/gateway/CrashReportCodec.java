package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Binary format of crash reports. A report takes as many datagrams as it needs; each starts with the sender, and
 * prompts with many parts are split.
 */
final class CrashReportCodec {

    /** First byte of a report; differs from those of load and limit reports and slowdown notices. */
    static final int TYPE = 4;

    static final int QUARANTINE = 1;
    static final int LOST_PROMPT = 2;
    static final int PROVEN_PARTS = 3;

    /** Maximum size of a datagram; it must fit into one packet on common links. */
    private static final int MAX_BYTES = 1_400;

    private final CrashReport report;
    private final List<ByteBuf> datagrams = new ArrayList<>();
    private ByteBuf current;

    private CrashReportCodec(CrashReport report) {
        this.report = report;
        this.current = startDatagram();
    }

    /** Encodes a report into at least one datagram. */
    static List<ByteBuf> encode(CrashReport report) {
        CrashReportCodec codec = new CrashReportCodec(report);
        report.quarantineAgesMs()
                .forEach((parts, ageMs) -> codec.writeParts(
                        QUARANTINE,
                        head -> head.writeInt(ageMs.intValue()),
                        parts.stream().sorted().toList()));
        report.lostPrompts()
                .forEach((upstream, prompts) -> prompts.forEach(prompt -> codec.writeParts(
                        LOST_PROMPT,
                        head -> {
                            DatagramText.write(head, upstream.upstreamId());
                            head.writeLong(upstream.startedMs());
                        },
                        prompt)));
        if (!report.provenParts().isEmpty()) {
            codec.writeParts(PROVEN_PARTS, head -> {}, report.provenParts());
        }
        return List.copyOf(codec.datagrams);
    }

    private ByteBuf startDatagram() {
        ByteBuf datagram = Unpooled.buffer(MAX_BYTES);
        datagram.writeByte(TYPE);
        DatagramText.write(datagram, report.sender());
        DatagramText.write(datagram, report.service());
        datagram.writeInt((int) report.answers());
        datagrams.add(datagram);
        return datagram;
    }

    /** Writes a list of parts in as many pieces as needed, each with the head of the list. */
    private void writeParts(int kind, Consumer<ByteBuf> headWriter, List<String> parts) {
        ByteBuf head = Unpooled.buffer();
        head.writeByte(kind);
        headWriter.accept(head);
        head.writeLong(identity(parts));
        head.writeInt(parts.size());
        int start = 0;
        do {
            int sizeOfFirst = parts.isEmpty() ? 0 : encoded(parts.get(start)).readableBytes();
            if (!fits(head.readableBytes() + Integer.BYTES + Short.BYTES + sizeOfFirst)) {
                current = startDatagram();
            }
            current.writeBytes(head.duplicate());
            current.writeInt(start);
            int countIndex = current.writerIndex();
            current.writeShort(0);
            int count = 0;
            while (start < parts.size()) {
                ByteBuf part = encoded(parts.get(start));
                if (!fits(part.readableBytes())) {
                    break;
                }
                current.writeBytes(part);
                start++;
                count++;
            }
            current.setShort(countIndex, count);
        } while (start < parts.size());
    }

    private boolean fits(int bytes) {
        return current.writerIndex() + bytes <= MAX_BYTES;
    }

    private static ByteBuf encoded(String part) {
        ByteBuf text = Unpooled.buffer();
        DatagramText.write(text, part);
        return text;
    }

    /** Returns a number by which the receiver recognises the pieces of one list. */
    private static long identity(List<String> parts) {
        byte[] text = String.join(",", parts).getBytes(StandardCharsets.UTF_8);
        return UUID.nameUUIDFromBytes(text).getMostSignificantBits();
    }
}
