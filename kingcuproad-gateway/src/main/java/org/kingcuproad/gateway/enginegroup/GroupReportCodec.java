package org.kingcuproad.gateway.enginegroup;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.kingcuproad.policy.enginegroup.GroupReport;

/** Binary format of group reports. */
public final class GroupReportCodec {

    /** First byte of a report; differs from those of the other datagrams, and gateways ignore unknown ones. */
    public static final int TYPE = 102;

    private static final int IPV4_BYTES = 4;

    /** Maximum number of listed members: a count takes one byte, and the datagram must fit into one packet. */
    private static final int MAX_MEMBERS = 255;

    private static final int MAX_NAME_BYTES = 255;

    private GroupReportCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return content of the datagram
     */
    public static ByteBuf encode(GroupReport report) {
        ByteBuf message = Unpooled.buffer().writeByte(TYPE);
        byte[] name = report.group().getBytes(StandardCharsets.UTF_8);
        int nameBytes = Math.min(name.length, MAX_NAME_BYTES);
        message.writeByte(nameBytes).writeBytes(name, 0, nameBytes);
        message.writeLong(report.epoch()).writeShort(report.rank()).writeShort(report.size());
        message.writeBoolean(report.open()).writeBoolean(report.copying()).writeFloat((float) report.passMs());
        List<byte[]> addresses = report.members().stream()
                .filter(NetUtil::isValidIpV4Address)
                .limit(report.coordinating() ? MAX_MEMBERS : 0)
                .map(NetUtil::createByteArrayFromIpAddressString)
                .toList();
        message.writeByte(addresses.size());
        addresses.forEach(message::writeBytes);
        return message;
    }

    /**
     * Decodes a report.
     *
     * @param message content of the datagram
     * @return the report
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    public static GroupReport decode(ByteBuf message) {
        message.skipBytes(1);
        String group = message.readCharSequence(message.readUnsignedByte(), StandardCharsets.UTF_8)
                .toString();
        long epoch = message.readLong();
        int rank = message.readUnsignedShort();
        int size = message.readUnsignedShort();
        boolean open = message.readBoolean();
        boolean copying = message.readBoolean();
        float passMs = message.readFloat();
        List<String> members = new ArrayList<>();
        int count = message.readUnsignedByte();
        byte[] address = new byte[IPV4_BYTES];
        for (int index = 0; index < count; index++) {
            message.readBytes(address);
            members.add(NetUtil.bytesToIpAddress(address));
        }
        boolean plausible = Float.isFinite(passMs) && passMs > 0;
        return new GroupReport(group, epoch, rank, size, open, copying, plausible ? passMs : 0, members);
    }
}
