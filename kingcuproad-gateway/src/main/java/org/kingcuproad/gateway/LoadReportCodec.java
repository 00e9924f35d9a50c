package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.Map;
import org.kingcuproad.policy.gateway.StoreContact;

/** Binary format of load reports. */
final class LoadReportCodec {

    /** First byte of a report; differs from those of the other datagrams and of earlier formats. */
    static final int TYPE = 5;

    /** Maximum size of a datagram; it must fit into one packet on common links. */
    private static final int MAX_BYTES = 1_400;

    private LoadReportCodec() {}

    /** Encodes a report. Loads that don't fit into one datagram are left out. */
    static ByteBuf encode(LoadReport report) {
        ByteBuf message = Unpooled.buffer(MAX_BYTES);
        message.writeByte(TYPE);
        DatagramText.write(message, report.sender());
        message.writeInt(toInt(report.storeContact().steadyMs()));
        message.writeInt(toInt(report.storeContact().ageMs()));
        report.loads().forEach((id, load) -> {
            if (message.readableBytes() + id.length() + Integer.BYTES * 2 < MAX_BYTES) {
                DatagramText.write(message, id);
                message.writeShort(load.inFlight());
                message.writeInt((int) load.pendingPrefillTokens());
            }
        });
        return message;
    }

    private static int toInt(long durationMs) {
        return (int) Math.min(durationMs, Integer.MAX_VALUE);
    }

    /**
     * Decodes a report.
     *
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    static LoadReport decode(ByteBuf message) {
        message.skipBytes(1);
        String sender = DatagramText.read(message);
        StoreContact.Report storeContact = new StoreContact.Report(message.readInt(), message.readInt());
        Map<String, PeerLoads.Load> loads = new HashMap<>();
        while (message.isReadable()) {
            String id = DatagramText.read(message);
            loads.put(id, new PeerLoads.Load(message.readUnsignedShort(), message.readInt()));
        }
        return new LoadReport(sender, storeContact, loads);
    }
}
