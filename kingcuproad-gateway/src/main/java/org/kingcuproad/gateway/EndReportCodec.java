package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.Map;
import org.kingcuproad.policy.gateway.EndConfirmations;

/** Binary format of reports about ends of streams. */
final class EndReportCodec {

    /** First byte of a report; differs from those of the other datagrams. */
    static final int TYPE = 6;

    /** Maximum size of a datagram; it must fit into one packet on common links. */
    private static final int MAX_BYTES = 1_400;

    private EndReportCodec() {}

    /** Encodes a report. Services that don't fit into one datagram are left out. */
    static ByteBuf encode(EndReport report) {
        ByteBuf message = Unpooled.buffer(MAX_BYTES);
        message.writeByte(TYPE);
        DatagramText.write(message, report.sender());
        report.services().forEach((service, seen) -> {
            ByteBuf entry = Unpooled.buffer();
            DatagramText.write(entry, service);
            entry.writeByte(seen.ends());
            entry.writeByte(seen.evidence());
            entry.writeBoolean(seen.distrusted());
            if (message.readableBytes() + entry.readableBytes() <= MAX_BYTES) {
                message.writeBytes(entry);
            }
            entry.release();
        });
        return message;
    }

    /**
     * Decodes a report.
     *
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    static EndReport decode(ByteBuf message) {
        message.skipBytes(1);
        String sender = DatagramText.read(message);
        Map<String, EndConfirmations.Report> services = new HashMap<>();
        while (message.isReadable()) {
            String service = DatagramText.read(message);
            services.put(
                    service,
                    new EndConfirmations.Report(
                            message.readUnsignedByte(), message.readUnsignedByte(), message.readBoolean()));
        }
        return new EndReport(sender, services);
    }
}
