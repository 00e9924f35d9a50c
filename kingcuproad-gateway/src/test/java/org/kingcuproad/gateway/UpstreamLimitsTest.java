package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/** Guards against gateways that keep a limit each for itself, and against limits that outlast their announcement. */
class UpstreamLimitsTest {

    private static final int MAX_DATAGRAM_BYTES = 1_400;
    private static final DecisionLog LOG = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), () -> 0);

    /** A gateway with one upstream, which passes its reports to the others. */
    private final class FakeGateway {

        private final Upstream upstream = upstream("u1");
        private final UpstreamLimits limits;

        private FakeGateway(String name) {
            limits = new UpstreamLimits(
                    name,
                    () -> List.of(upstream),
                    report -> gateways.stream()
                            .filter(gateway -> gateway != this)
                            .forEach(gateway -> gateway.limits.onReport(
                                    LimitReportCodec.decode(LimitReportCodec.encode(report)), nowMs)),
                    LOG);
            gateways.add(this);
        }

        private boolean send() {
            if (!upstream.requestLimit().allows(1, nowMs)) {
                return false;
            }
            limits.onSend(upstream, nowMs);
            limits.report(nowMs);
            return true;
        }
    }

    private final List<FakeGateway> gateways = new ArrayList<>();
    private long nowMs;

    private static Upstream upstream(String id) {
        return new Upstream(
                new UpstreamEntry(id, "desk", "127.0.0.1", 1, "dc", 4, false, 7, 0),
                new EvacuatedDataCentres(false),
                0);
    }

    private void runUntil(long endMs) {
        for (; nowMs < endMs; nowMs += 25) {
            gateways.forEach(gateway -> gateway.limits.report(nowMs));
        }
    }

    @Test
    void appliesALimitThatAnotherGatewayWasTold() {
        FakeGateway first = new FakeGateway("g1");
        FakeGateway second = new FakeGateway("g2");
        first.limits.onAnnounced(first.upstream, OptionalDouble.of(2), nowMs);
        first.limits.report(nowMs);

        assertThat(second.upstream.requestLimit().perSecond()).hasValue(2);
    }

    @Test
    void sharesALimitBetweenGateways() {
        FakeGateway first = new FakeGateway("g1");
        FakeGateway second = new FakeGateway("g2");
        first.limits.onAnnounced(first.upstream, OptionalDouble.of(2), nowMs);
        int sent = 0;
        for (int step = 0; step < 200; step++) {
            sent += first.send() ? 1 : 0;
            sent += second.send() ? 1 : 0;
            runUntil(nowMs + 50);
        }
        assertThat(sent).as("requests of both in 10 s").isBetween(18, 21);
    }

    @Test
    void endsALimitWhenTheUpstreamNoLongerAnnouncesIt() {
        FakeGateway first = new FakeGateway("g1");
        FakeGateway second = new FakeGateway("g2");
        first.limits.onAnnounced(first.upstream, OptionalDouble.of(2), nowMs);
        runUntil(2_000);
        second.limits.onAnnounced(second.upstream, OptionalDouble.empty(), nowMs);
        runUntil(3_000);

        assertThat(first.upstream.requestLimit().perSecond()).isEmpty();
        assertThat(second.upstream.requestLimit().perSecond()).isEmpty();
    }

    /** Guards against a gateway that has forgotten the limits because it restarted. */
    @Test
    void tellsAGatewayThatStartsLater() {
        FakeGateway first = new FakeGateway("g1");
        first.limits.onAnnounced(first.upstream, OptionalDouble.of(2), nowMs);
        runUntil(2_000);
        FakeGateway second = new FakeGateway("g2");
        runUntil(3_100);

        assertThat(second.upstream.requestLimit().perSecond()).hasValue(2);
    }

    @Test
    void encodesAsManyEntriesAsFitIntoADatagram() {
        LimitReport report = new LimitReport(
                "front-haverhill-1",
                IntStream.range(0, LimitReportCodec.MAX_ENTRIES)
                        .mapToObj(index -> new LimitReport.Entry(
                                "i-f4313c1eac" + index,
                                1_791_752_252_001L,
                                index == 0 ? OptionalDouble.empty() : OptionalDouble.of(index),
                                5,
                                index))
                        .toList());

        ByteBuf message = LimitReportCodec.encode(report);

        assertThat(message.readableBytes()).isLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
        assertThatThrownBy(() -> LimitReportCodec.decode(message.slice(0, message.readableBytes() - 1)))
                .isInstanceOf(IndexOutOfBoundsException.class);
        assertThat(LimitReportCodec.decode(message)).isEqualTo(report);
    }
}
