package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

class CrashReportCodecTest {

    private static final int MAX_DATAGRAM_BYTES = 1_400;

    private static final CrashReport REPORT = new CrashReport(
            "g1",
            "desk",
            12,
            Map.of(Set.of("a", "b"), 5_000L),
            Map.of(
                    new UpstreamCrash.Incarnation("u1", 1_791_752_252_001L),
                    Set.of(List.of("a", "b"), List.of("c"), List.of())),
            List.of("c", "d"));

    @Test
    void decodesWhatItEncodes() {
        assertThat(CrashReportCodec.decode(CrashReportCodec.encode(REPORT))).isEqualTo(REPORT);
    }

    @Test
    void rejectsATruncatedMessage() {
        ByteBuf message = CrashReportCodec.encode(REPORT);
        ByteBuf truncated = message.slice(0, message.readableBytes() - 1);
        assertThatThrownBy(() -> CrashReportCodec.decode(truncated)).isInstanceOf(IndexOutOfBoundsException.class);
    }

    @Test
    void leavesOutWhatDoesNotFitIntoADatagram() {
        List<String> parts =
                IntStream.range(0, 16).mapToObj(index -> "x".repeat(30) + index).toList();
        CrashReport large = new CrashReport(
                "g1",
                "desk",
                1,
                Map.of(),
                IntStream.range(0, 60)
                        .boxed()
                        .collect(Collectors.toMap(
                                index -> new UpstreamCrash.Incarnation("u" + index, 0), index -> Set.of(parts))),
                parts);

        ByteBuf message = CrashReportCodec.encode(large);

        assertThat(message.readableBytes()).isLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
        assertThat(CrashReportCodec.decode(message).lostPrompts()).isNotEmpty();
    }
}
