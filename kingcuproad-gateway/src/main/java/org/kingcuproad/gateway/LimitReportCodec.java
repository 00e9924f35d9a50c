package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/** Binary format of limit reports. */
final class LimitReportCodec {

    /** First byte of a report; differs from those of the other datagrams. */
    static final int TYPE = 3;

    /** Maximum number of entries in a report, so that it fits into one packet on common links. */
    static final int MAX_ENTRIES = 25;

    private static final double NO_LIMIT = -1;

    private LimitReportCodec() {}

    static ByteBuf encode(LimitReport report) {
        ByteBuf message = Unpooled.buffer();
        message.writeByte(TYPE);
        DatagramText.write(message, report.sender());
        message.writeByte(report.entries().size());
        report.entries().forEach(entry -> {
            DatagramText.write(message, entry.upstreamId());
            message.writeLong(entry.startedMs());
            message.writeDouble(entry.perSecond().orElse(NO_LIMIT));
            message.writeInt((int) entry.ageMs());
            message.writeInt((int) entry.sends());
        });
        return message;
    }

    /**
     * Decodes a report.
     *
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    static LimitReport decode(ByteBuf message) {
        message.skipBytes(1);
        String sender = DatagramText.read(message);
        List<LimitReport.Entry> entries = new ArrayList<>();
        for (int left = message.readUnsignedByte(); left > 0; left--) {
            String upstreamId = DatagramText.read(message);
            long startedMs = message.readLong();
            double perSecond = message.readDouble();
            entries.add(new LimitReport.Entry(
                    upstreamId,
                    startedMs,
                    perSecond >= 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
                    message.readInt(),
                    message.readInt()));
        }
        return new LimitReport(sender, entries);
    }
}
