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
import org.kingcuproad.policy.lockstep.MapDelta;
import org.kingcuproad.policy.lockstep.RankState;

/** Message between the agents of a group, sent as one datagram. */
sealed interface RankMessage {

    /** Number of bytes of an IPv4 address. */
    int ADDRESS_BYTES = 4;

    /** Returns the name of the sender's group. */
    String group();

    /**
     * Announces a coordinating rank, whose address is the sender of the datagram.
     *
     * @param collectors agents that collect the samples of others; empty if samples go to rank 0
     */
    record Hello(String group, int rank, long epoch, List<InetSocketAddress> collectors) implements RankMessage {

        public Hello {
            collectors = List.copyOf(collectors);
        }
    }

    /** State and slowdown of a rank, for the coordinator; also announces the sender's address. */
    record State(String group, RankState state, double slowdown) implements RankMessage {}

    /** Experts that a rank holds with the map in use, for the coordinator. */
    record HeldExperts(String group, int rank, RankExperts experts) implements RankMessage {}

    /** Experts that the requests of a rank chose since its last sample, for the coordinator. */
    record Choices(String group, ChoiceSample sample) implements RankMessage {}

    /** Message that a receiver forwards to other agents, so that the sender's link carries it only a few times. */
    sealed interface Forwarded extends RankMessage {

        /**
         * Returns the formation number of the group to which the message applies.
         *
         * @return the epoch
         */
        long epoch();

        /**
         * Returns the agents to which the receiver forwards the message.
         *
         * @return addresses of the agents
         */
        List<InetSocketAddress> forwardTo();

        /**
         * Returns a copy that is forwarded to other agents.
         *
         * @param receivers addresses of the agents
         * @return the copy
         */
        Forwarded withForwardTo(List<InetSocketAddress> receivers);
    }

    /**
     * State that the coordinator requires of the ranks.
     *
     * @param forwardTo agents to which the receiver forwards the message
     */
    record DesiredState(String group, long epoch, DesiredRankState desired, List<InetSocketAddress> forwardTo)
            implements Forwarded {

        public DesiredState {
            forwardTo = List.copyOf(forwardTo);
        }

        @Override
        public DesiredState withForwardTo(List<InetSocketAddress> receivers) {
            return new DesiredState(group, epoch, desired, receivers);
        }
    }

    /**
     * State with a map that the coordinator requires of the ranks, for receivers that know the base of the difference.
     *
     * @param clearing whether the ranks must also be disarmed
     * @param version version of the map
     * @param delta the map as the difference from one that the ranks know
     * @param forwardTo agents to which the receiver forwards the message
     */
    record DesiredMap(
            String group, long epoch, boolean clearing, long version, MapDelta delta, List<InetSocketAddress> forwardTo)
            implements Forwarded {

        public DesiredMap {
            forwardTo = List.copyOf(forwardTo);
        }

        @Override
        public DesiredMap withForwardTo(List<InetSocketAddress> receivers) {
            return new DesiredMap(group, epoch, clearing, version, delta, receivers);
        }

        /** Returns the desired state, given the base of the difference. */
        DesiredRankState resolve(ExpertPlacement base) {
            ExpertPlacement map = delta.applyTo(base);
            return clearing ? new DesiredRankState.Cleared(version, map) : new DesiredRankState.Prepared(version, map);
        }
    }

    /** Encodes a message. */
    static void write(ByteBuf out, RankMessage message) {
        switch (message) {
            case Hello hello -> {
                writeHeader(out, 1, hello.group);
                out.writeShort(hello.rank).writeLong(hello.epoch);
                writeAddresses(out, hello.collectors);
            }
            case State state -> {
                writeHeader(out, 2, state.group);
                writeState(out, state.state);
                out.writeDouble(state.slowdown);
            }
            case HeldExperts heldExperts -> {
                writeHeader(out, 3, heldExperts.group);
                out.writeShort(heldExperts.rank)
                        .writeLong(heldExperts.experts.epoch())
                        .writeLong(heldExperts.experts.mapVersion());
                writeLists(out, heldExperts.experts.bySet());
            }
            case Choices choices -> {
                writeHeader(out, 4, choices.group);
                ChoiceSample sample = choices.sample;
                out.writeShort(sample.counterCount()).writeByte(sample.scale()).writeByte(sample.bitsPerCounter());
                out.writeBytes(sample.packed());
            }
            case DesiredState desiredState -> {
                writeHeader(out, 5, desiredState.group);
                out.writeLong(desiredState.epoch);
                writeDesiredState(out, desiredState.desired);
                writeAddresses(out, desiredState.forwardTo);
            }
            case DesiredMap desiredMap -> {
                writeHeader(out, 6, desiredMap.group);
                out.writeLong(desiredMap.epoch)
                        .writeBoolean(desiredMap.clearing)
                        .writeLong(desiredMap.version);
                writeDelta(out, desiredMap.delta);
                writeAddresses(out, desiredMap.forwardTo);
            }
        }
    }

    private static void writeAddresses(ByteBuf out, List<InetSocketAddress> addresses) {
        out.writeByte(addresses.size());
        addresses.forEach(address -> {
            out.writeBytes(address.getAddress().getAddress());
            out.writeShort(address.getPort());
        });
    }

    private static void writeDelta(ByteBuf out, MapDelta delta) {
        out.writeLong(delta.baseVersion()).writeShort(delta.changes().size());
        delta.changes().forEach(change -> {
            out.writeByte(change.set()).writeShort(change.rank());
            writeList(out, change.experts());
        });
    }

    private static MapDelta readDelta(ByteBuf in) {
        long baseVersion = in.readLong();
        int count = in.readUnsignedShort();
        List<MapDelta.Change> changes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            changes.add(new MapDelta.Change(in.readUnsignedByte(), in.readUnsignedShort(), readList(in)));
        }
        return new MapDelta(baseVersion, changes);
    }

    /**
     * Decodes a message.
     *
     * @return the message, or empty if its type is unknown
     * @throws IndexOutOfBoundsException if it is truncated
     */
    static Optional<RankMessage> read(ByteBuf in) {
        int type = in.readUnsignedByte();
        String group = in.readCharSequence(in.readUnsignedByte(), StandardCharsets.UTF_8)
                .toString();
        return switch (type) {
            case 1 -> Optional.of(new Hello(group, in.readUnsignedShort(), in.readLong(), readAddresses(in)));
            case 2 -> Optional.of(new State(group, readState(in), in.readDouble()));
            case 3 ->
                Optional.of(new HeldExperts(
                        group, in.readUnsignedShort(), new RankExperts(in.readLong(), in.readLong(), readLists(in))));
            case 4 -> Optional.of(new Choices(group, readSample(in)));
            case 5 -> Optional.of(new DesiredState(group, in.readLong(), readDesiredState(in), readAddresses(in)));
            case 6 ->
                Optional.of(new DesiredMap(
                        group, in.readLong(), in.readBoolean(), in.readLong(), readDelta(in), readAddresses(in)));
            default -> Optional.empty();
        };
    }

    private static ChoiceSample readSample(ByteBuf in) {
        int counterCount = in.readUnsignedShort();
        int scale = in.readUnsignedByte();
        int bitsPerCounter = in.readUnsignedByte();
        byte[] packed = new byte[ChoiceSample.packedBytes(counterCount, bitsPerCounter)];
        in.readBytes(packed);
        return new ChoiceSample(counterCount, scale, bitsPerCounter, packed);
    }

    private static List<InetSocketAddress> readAddresses(ByteBuf in) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        int count = in.readUnsignedByte();
        byte[] host = new byte[ADDRESS_BYTES];
        for (int index = 0; index < count; index++) {
            in.readBytes(host);
            try {
                addresses.add(new InetSocketAddress(InetAddress.getByAddress(host), in.readUnsignedShort()));
            } catch (UnknownHostException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
        return addresses;
    }

    private static void writeHeader(ByteBuf out, int type, String group) {
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

    private static void writeDesiredState(ByteBuf out, DesiredRankState desired) {
        switch (desired) {
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

    private static DesiredRankState readDesiredState(ByteBuf in) {
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
            int[][] expertsByRank = new int[map.ranks()][];
            for (int rank = 0; rank < expertsByRank.length; rank++) {
                expertsByRank[rank] = map.experts(set, rank);
            }
            writeLists(out, expertsByRank);
        }
    }

    private static ExpertPlacement readMap(ByteBuf in) {
        int[][][] bySet = new int[in.readUnsignedByte()][][];
        for (int set = 0; set < bySet.length; set++) {
            bySet[set] = readLists(in);
        }
        return ExpertPlacement.of(bySet);
    }

    /**
     * Writes ascending lists as differences between neighbours, most of which take one byte as a variable-length
     * integer.
     */
    private static void writeLists(ByteBuf out, int[][] lists) {
        out.writeShort(lists.length);
        for (int[] list : lists) {
            writeList(out, list);
        }
    }

    private static void writeList(ByteBuf out, int[] list) {
        out.writeByte(list.length);
        int previous = 0;
        for (int expert : list) {
            writeVarint(out, expert - previous);
            previous = expert;
        }
    }

    private static int[][] readLists(ByteBuf in) {
        int[][] lists = new int[in.readUnsignedShort()][];
        for (int index = 0; index < lists.length; index++) {
            lists[index] = readList(in);
        }
        return lists;
    }

    private static int[] readList(ByteBuf in) {
        int[] list = new int[in.readUnsignedByte()];
        int previous = 0;
        for (int position = 0; position < list.length; position++) {
            previous += readVarint(in);
            list[position] = previous;
        }
        return list;
    }

    private static void writeVarint(ByteBuf out, int value) {
        int remaining = value;
        while (remaining >= 0x80) {
            out.writeByte((remaining & 0x7f) | 0x80);
            remaining >>>= 7;
        }
        out.writeByte(remaining);
    }

    private static int readVarint(ByteBuf in) {
        int value = 0;
        for (int shift = 0; shift < Integer.SIZE; shift += 7) {
            int nextByte = in.readUnsignedByte();
            value |= (nextByte & 0x7f) << shift;
            if (nextByte < 0x80) {
                break;
            }
        }
        return value;
    }
}
