package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
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
        List<ByteBuf> datagrams = CrashReportCodec.encode(REPORT);
        assertThat(datagrams).hasSize(1);
        assertThat(new CrashReportReader().read(datagrams.getFirst())).isEqualTo(REPORT);
    }

    @Test
    void rejectsATruncatedMessage() {
        ByteBuf message = CrashReportCodec.encode(REPORT).getFirst();
        ByteBuf truncated = message.slice(0, message.readableBytes() - 1);
        assertThatThrownBy(() -> new CrashReportReader().read(truncated)).isInstanceOf(IndexOutOfBoundsException.class);
    }

    private static List<String> parts(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> prefix + "x".repeat(20) + index)
                .toList();
    }

    private static CrashReport largeReport() {
        return new CrashReport(
                "g1",
                "desk",
                1,
                Map.of(Set.copyOf(parts("q", 700)), 50L),
                IntStream.range(0, 20)
                        .boxed()
                        .collect(Collectors.toMap(
                                index -> new UpstreamCrash.Incarnation("u" + index, 0),
                                index -> Set.of(parts("a" + index, 16), parts("b" + index, 900)))),
                parts("p", 500));
    }

    /** Joins what several datagrams report. */
    private static CrashReport join(List<CrashReport> reports) {
        Map<Set<String>, Long> quarantineAgesMs = new HashMap<>();
        Map<UpstreamCrash.Incarnation, Set<List<String>>> lostPrompts = new HashMap<>();
        List<String> provenParts = new ArrayList<>();
        reports.forEach(report -> {
            quarantineAgesMs.putAll(report.quarantineAgesMs());
            report.lostPrompts()
                    .forEach((upstream, prompts) -> lostPrompts
                            .computeIfAbsent(upstream, unused -> new HashSet<>())
                            .addAll(prompts));
            provenParts.addAll(report.provenParts());
        });
        CrashReport first = reports.getFirst();
        return new CrashReport(
                first.sender(), first.service(), first.answers(), quarantineAgesMs, lostPrompts, provenParts);
    }

    /** Guards against prompt parts that other gateways never learn of. */
    @Test
    void splitsWhatDoesNotFitIntoADatagram() {
        CrashReport large = largeReport();
        List<ByteBuf> datagrams = CrashReportCodec.encode(large);
        CrashReportReader reader = new CrashReportReader();

        assertThat(datagrams).allMatch(datagram -> datagram.readableBytes() <= MAX_DATAGRAM_BYTES);
        assertThat(join(datagrams.stream().map(reader::read).toList())).isEqualTo(large);
    }

    @Test
    void readsAPromptFromDatagramsThatAreLostAndReordered() {
        CrashReport large = largeReport();
        CrashReportReader reader = new CrashReportReader();
        List<CrashReport> read = new ArrayList<>();
        List<ByteBuf> first = new ArrayList<>(CrashReportCodec.encode(large));
        Collections.shuffle(first, new Random(1));
        first.stream().skip(first.size() / 3).map(reader::read).forEach(read::add);
        CrashReportCodec.encode(large).stream().map(reader::read).forEach(read::add);

        assertThat(join(read).lostPrompts()).isEqualTo(large.lostPrompts());
        assertThat(join(read).quarantineAgesMs()).isEqualTo(large.quarantineAgesMs());
    }
}
