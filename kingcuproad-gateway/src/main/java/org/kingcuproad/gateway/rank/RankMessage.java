package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.RankState;

/** A datagram between agents of one group. */
sealed interface RankMessage {

    /** Bytes of an IPv4 address. */
    int ADDRESS_BYTES = 4;

    /** Name of the sender's group. */
    String group();

    /** Announces a rank and its address. */
    record Hello(String group, int rank, long epoch) implements RankMessage {}

    /** State of a rank, for the coordinator; it also announces the sender's address. */
    record State(String group, RankState state, double pace) implements RankMessage {}

    /** Experts that a rank holds by set with the map in use, for the coordinator. */
    record Held(String group, int rank, RankExperts experts) implements RankMessage {}

    /** What the requests of a rank chose recently, for the coordinator. */
    record Choices(String group, ChoiceSample sample) implements RankMessage {}

    /**
     * State that the coordinator wants ranks to be in.
     *
     * @param passOnTo agents that the receiver passes the message on to
     */
    record Wanted(String group, long epoch, DesiredRankState wish, List<InetSocketAddress> passOnTo)
            implements RankMessage {

        public Wanted {
            passOnTo = List.copyOf(passOnTo);
        }

        Wanted withPassOnTo(List<InetSocketAddress> others) {
            return new Wanted(group, epoch, wish, others);
        }
    }

    /** Writes a message. */
    static void write(ByteBuf out, RankMessage message) {
        switch (message) {
            case Hello hello -> {
                begin(out, 1, hello.group);
                out.writeShort(hello.rank).writeLong(hello.epoch);
            }
            case State state -> {
                begin(out, 2, state.group);
                writeState(out, state.state);
                out.writeDouble(state.pace);
            }
            case Held held -> {
                begin(out, 3, held.group);
                out.writeShort(held.rank).writeLong(held.experts.epoch()).writeLong(held.experts.mapVersion());
                writeLists(out, held.experts.bySet());
            }
            case Choices choices -> {
                begin(out, 4, choices.group);
                ChoiceSample sample = choices.sample;
                out.writeShort(sample.counterCount()).writeByte(sample.scale()).writeByte(sample.bitsPerCounter());
                out.writeBytes(sample.packed());
            }
            case Wanted wanted -> {
                begin(out, 5, wanted.group);
                out.writeLong(wanted.epoch);
                writeWish(out, wanted.wish);
                out.writeByte(wanted.passOnTo.size());
                wanted.passOnTo.forEach(address -> {
                    out.writeBytes(address.getAddress().getAddress());
                    out.writeShort(address.getPort());
                });
            }
        }
    }

    /**
     * Reads a message.
     *
     * @throws IndexOutOfBoundsException if it is truncated
     */
    static Optional<RankMessage> read(ByteBuf in) {
        int type = in.readUnsignedByte();
        String group = in.readCharSequence(in.readUnsignedByte(), StandardCharsets.UTF_8)
                .toString();
        return switch (type) {
            case 1 -> Optional.of(new Hello(group, in.readUnsignedShort(), in.readLong()));
            case 2 -> Optional.of(new State(group, readState(in), in.readDouble()));
            case 3 ->
                Optional.of(new Held(
                        group, in.readUnsignedShort(), new RankExperts(in.readLong(), in.readLong(), readLists(in))));
            case 4 -> Optional.of(new Choices(group, readSample(in)));
            case 5 -> Optional.of(new Wanted(group, in.readLong(), readWish(in), readAddresses(in)));
            default -> Optional.empty();
        };
    }

    private static ChoiceSample readSample(ByteBuf in) {
        int total = in.readUnsignedShort();
        int scale = in.readUnsignedByte();
        int bits = in.readUnsignedByte();
        byte[] packed = new byte[ChoiceSample.packedBytes(total, bits)];
        in.readBytes(packed);
        return new ChoiceSample(total, scale, bits, packed);
    }

    private static List<InetSocketAddress> readAddresses(ByteBuf in) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        int count = in.readUnsignedByte();
        byte[] host = new byte[ADDRESS_BYTES];
        for (int at = 0; at < count; at++) {
            in.readBytes(host);
            try {
                addresses.add(new InetSocketAddress(InetAddress.getByAddress(host), in.readUnsignedShort()));
            } catch (UnknownHostException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
        return addresses;
    }

    private static void begin(ByteBuf out, int type, String group) {
        byte[] bytes = group.getBytes(StandardCharsets.UTF_8);
        out.writeByte(type).writeByte(bytes.length).writeBytes(bytes);
    }

    private static void writeState(ByteBuf out, RankState state) {
        out.writeShort(state.rank()).writeLong(state.epoch()).writeBoolean(state.operational());
        out.writeLong(state.step()).writeLong(state.mapVersion()).writeLong(state.preparedVersion());
        out.writeLong(state.armedVersion()).writeLong(state.heldStep());
    }

    private static RankState readState(ByteBuf in) {
        return new RankState(
                in.readUnsignedShort(),
                in.readLong(),
                in.readBoolean(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                0);
    }

    private static void writeWish(ByteBuf out, DesiredRankState wish) {
        switch (wish) {
            case DesiredRankState.Prepared prepared -> {
                out.writeByte(1).writeLong(prepared.version());
                writeMap(out, prepared.map());
            }
            case DesiredRankState.Armed armed ->
                out.writeByte(2).writeLong(armed.version()).writeLong(armed.step());
            case DesiredRankState.Cleared cleared -> {
                out.writeByte(3).writeLong(cleared.version());
                writeMap(out, cleared.map());
            }
        }
    }

    private static DesiredRankState readWish(ByteBuf in) {
        int type = in.readUnsignedByte();
        long version = in.readLong();
        return switch (type) {
            case 1 -> new DesiredRankState.Prepared(version, readMap(in));
            case 2 -> new DesiredRankState.Armed(version, in.readLong());
            default -> new DesiredRankState.Cleared(version, readMap(in));
        };
    }

    private static void writeMap(ByteBuf out, ExpertPlacement map) {
        out.writeByte(map.sets());
        for (int set = 0; set < map.sets(); set++) {
            int[][] byRank = new int[map.ranks()][];
            for (int rank = 0; rank < byRank.length; rank++) {
                byRank[rank] = map.experts(set, rank);
            }
            writeLists(out, byRank);
        }
    }

    private static ExpertPlacement readMap(ByteBuf in) {
        int[][][] bySet = new int[in.readUnsignedByte()][][];
        for (int set = 0; set < bySet.length; set++) {
            bySet[set] = readLists(in);
        }
        return ExpertPlacement.of(bySet);
    }

    /** Lists ascend, so each number is written as the distance from the one before it, mostly in one byte. */
    private static void writeLists(ByteBuf out, int[][] lists) {
        out.writeShort(lists.length);
        for (int[] list : lists) {
            out.writeByte(list.length);
            int before = 0;
            for (int expert : list) {
                writeVarint(out, expert - before);
                before = expert;
            }
        }
    }

    private static int[][] readLists(ByteBuf in) {
        int[][] lists = new int[in.readUnsignedShort()][];
        for (int at = 0; at < lists.length; at++) {
            lists[at] = new int[in.readUnsignedByte()];
            int before = 0;
            for (int place = 0; place < lists[at].length; place++) {
                before += readVarint(in);
                lists[at][place] = before;
            }
        }
        return lists;
    }

    private static void writeVarint(ByteBuf out, int value) {
        int rest = value;
        while (rest >= 0x80) {
            out.writeByte((rest & 0x7f) | 0x80);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }

    private static int readVarint(ByteBuf in) {
        int value = 0;
        for (int shift = 0; shift < Integer.SIZE; shift += 7) {
            int next = in.readUnsignedByte();
            value |= (next & 0x7f) << shift;
            if (next < 0x80) {
                break;
            }
        }
        return value;
    }
}
