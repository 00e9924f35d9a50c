package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.kingcuproad.policy.lockstep.ExpertLists;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.RankWish;

/** A datagram between agents of one group. */
sealed interface RankMessage {

    /** Name of the sender's group. */
    String group();

    /** Announces a rank and its address. */
    record Hello(String group, int rank, long epoch) implements RankMessage {}

    /** State of a rank and the experts that it holds by set, for the coordinator. */
    @SuppressWarnings("ArrayRecordComponent")
    record State(String group, RankState state, double pace, long heldMapVersion, int[][] experts)
            implements RankMessage {}

    /** Counters of chosen experts, a part of them in each datagram, for the coordinator. */
    @SuppressWarnings("ArrayRecordComponent")
    record Counters(String group, int rank, int total, int offset, long[] values) implements RankMessage {}

    /** State that the coordinator wants the rank to be in. */
    record Wanted(String group, long epoch, RankWish wish) implements RankMessage {}

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
                out.writeLong(state.heldMapVersion);
                writeLists(out, state.experts);
            }
            case Counters counters -> {
                begin(out, 3, counters.group);
                out.writeShort(counters.rank).writeShort(counters.total).writeShort(counters.offset);
                out.writeShort(counters.values.length);
                for (long value : counters.values) {
                    writeVarint(out, value);
                }
            }
            case Wanted wanted -> {
                begin(out, 4, wanted.group);
                out.writeLong(wanted.epoch);
                writeWish(out, wanted.wish);
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
            case 2 -> Optional.of(new State(group, readState(in), in.readDouble(), in.readLong(), readLists(in)));
            case 3 -> {
                int rank = in.readUnsignedShort();
                int total = in.readUnsignedShort();
                int offset = in.readUnsignedShort();
                long[] values = new long[in.readUnsignedShort()];
                for (int at = 0; at < values.length; at++) {
                    values[at] = readVarint(in);
                }
                yield Optional.of(new Counters(group, rank, total, offset, values));
            }
            case 4 -> Optional.of(new Wanted(group, in.readLong(), readWish(in)));
            default -> Optional.empty();
        };
    }

    private static void begin(ByteBuf out, int type, String group) {
        byte[] bytes = group.getBytes(StandardCharsets.UTF_8);
        out.writeByte(type).writeByte(bytes.length).writeBytes(bytes);
    }

    private static void writeState(ByteBuf out, RankState state) {
        out.writeShort(state.rank()).writeLong(state.epoch()).writeBoolean(state.open());
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

    private static void writeWish(ByteBuf out, RankWish wish) {
        switch (wish) {
            case RankWish.Prepared prepared -> {
                out.writeByte(1).writeLong(prepared.version());
                writeMap(out, prepared.map());
            }
            case RankWish.Armed armed ->
                out.writeByte(2).writeLong(armed.version()).writeLong(armed.step());
            case RankWish.Cleared cleared -> {
                out.writeByte(3).writeLong(cleared.version());
                writeMap(out, cleared.map());
            }
        }
    }

    private static RankWish readWish(ByteBuf in) {
        int type = in.readUnsignedByte();
        long version = in.readLong();
        return switch (type) {
            case 1 -> new RankWish.Prepared(version, readMap(in));
            case 2 -> new RankWish.Armed(version, in.readLong());
            default -> new RankWish.Cleared(version, readMap(in));
        };
    }

    private static void writeMap(ByteBuf out, ExpertLists map) {
        out.writeByte(map.sets());
        for (int set = 0; set < map.sets(); set++) {
            int[][] byRank = new int[map.ranks()][];
            for (int rank = 0; rank < byRank.length; rank++) {
                byRank[rank] = map.experts(set, rank);
            }
            writeLists(out, byRank);
        }
    }

    private static ExpertLists readMap(ByteBuf in) {
        int[][][] bySet = new int[in.readUnsignedByte()][][];
        for (int set = 0; set < bySet.length; set++) {
            bySet[set] = readLists(in);
        }
        return ExpertLists.of(bySet);
    }

    private static void writeLists(ByteBuf out, int[][] lists) {
        out.writeShort(lists.length);
        for (int[] list : lists) {
            out.writeByte(list.length);
            for (int expert : list) {
                out.writeShort(expert);
            }
        }
    }

    private static int[][] readLists(ByteBuf in) {
        int[][] lists = new int[in.readUnsignedShort()][];
        for (int at = 0; at < lists.length; at++) {
            lists[at] = new int[in.readUnsignedByte()];
            for (int place = 0; place < lists[at].length; place++) {
                lists[at][place] = in.readUnsignedShort();
            }
        }
        return lists;
    }

    private static void writeVarint(ByteBuf out, long value) {
        long rest = value;
        while (rest >= 0x80) {
            out.writeByte((int) (rest & 0x7f) | 0x80);
            rest >>>= 7;
        }
        out.writeByte((int) rest);
    }

    private static long readVarint(ByteBuf in) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            int next = in.readUnsignedByte();
            value |= (long) (next & 0x7f) << shift;
            if (next < 0x80) {
                break;
            }
        }
        return value;
    }
}
