package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/** Binary format of crash reports. What does not fit into one datagram is left out. */
final class CrashReportCodec {

    /** First byte of a report; differs from those of load reports and slowdown notices. */
    static final int TYPE = 2;

    /** Maximum size of a datagram; it must fit into one packet on common links. */
    private static final int MAX_BYTES = 1_400;

    private static final int MAX_ITEMS = 255;

    private CrashReportCodec() {}

    static ByteBuf encode(CrashReport report) {
        ByteBuf message = Unpooled.buffer(MAX_BYTES);
        message.writeByte(TYPE);
        DatagramText.write(message, report.sender());
        DatagramText.write(message, report.service());
        message.writeInt((int) report.answers());
        writeItems(message, report.quarantineAgesMs().entrySet(), (buffer, quarantine) -> {
            buffer.writeInt(quarantine.getValue().intValue());
            writeTexts(buffer, quarantine.getKey());
        });
        writeItems(message, report.lostPrompts().entrySet(), (buffer, crash) -> {
            DatagramText.write(buffer, crash.getKey().upstreamId());
            buffer.writeLong(crash.getKey().startedMs());
            writeItems(buffer, crash.getValue(), CrashReportCodec::writeTexts);
        });
        writeItems(message, report.provenParts(), DatagramText::write);
        return message;
    }

    /**
     * Decodes a report.
     *
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    static CrashReport decode(ByteBuf message) {
        message.skipBytes(1);
        String sender = DatagramText.read(message);
        String service = DatagramText.read(message);
        long answers = message.readInt();
        Map<Set<String>, Long> quarantineAgesMs = new HashMap<>();
        for (int left = message.readUnsignedByte(); left > 0; left--) {
            long ageMs = message.readInt();
            quarantineAgesMs.put(Set.copyOf(readTexts(message)), ageMs);
        }
        Map<UpstreamCrash.Incarnation, Set<List<String>>> lostPrompts = new HashMap<>();
        for (int left = message.readUnsignedByte(); left > 0; left--) {
            UpstreamCrash.Incarnation upstream =
                    new UpstreamCrash.Incarnation(DatagramText.read(message), message.readLong());
            Set<List<String>> prompts = new HashSet<>();
            for (int promptsLeft = message.readUnsignedByte(); promptsLeft > 0; promptsLeft--) {
                prompts.add(readTexts(message));
            }
            lostPrompts.put(upstream, prompts);
        }
        return new CrashReport(sender, service, answers, quarantineAgesMs, lostPrompts, readTexts(message));
    }

    /** Writes the number of items and then as many as fit, leaving room for the counts of the lists that follow. */
    private static <T> void writeItems(ByteBuf message, Collection<T> items, BiConsumer<ByteBuf, T> writer) {
        int countIndex = message.writerIndex();
        message.writeByte(0);
        int count = 0;
        for (T item : items) {
            ByteBuf encoded = Unpooled.buffer();
            writer.accept(encoded, item);
            if (count < MAX_ITEMS && message.writerIndex() + encoded.readableBytes() + 2 <= MAX_BYTES) {
                message.writeBytes(encoded);
                count++;
            }
        }
        message.setByte(countIndex, count);
    }

    private static void writeTexts(ByteBuf message, Collection<String> texts) {
        writeItems(message, texts, DatagramText::write);
    }

    private static List<String> readTexts(ByteBuf message) {
        List<String> texts = new ArrayList<>();
        for (int left = message.readUnsignedByte(); left > 0; left--) {
            texts.add(DatagramText.read(message));
        }
        return texts;
    }
}
