package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/** Guards against taking a rank that cuts its requests because its group is stalled for one that has crashed. */
class UpstreamCrashDetectorTest {

    private final Upstream upstream = new Upstream(
            new UpstreamEntry("u1", "desk", "127.0.0.1", 1, "dc", 4, false, 0, 0), new EvacuatedDataCentres(false), 0);
    private final List<Consumer<ProbeResult>> probes = new ArrayList<>();
    private final List<List<List<String>>> crashes = new ArrayList<>();
    private final List<ProbeResult> ended = new ArrayList<>();
    private final UpstreamCrashDetector detector = new UpstreamCrashDetector(
            (probed, delayMs, result) -> probes.add(result), (crashed, prompts) -> crashes.add(prompts));

    @Test
    void reportsAllRequestsLostWithACrashAfterOneProbe() {
        detector.onDisconnected(upstream, List.of("a"));
        detector.onDisconnected(upstream, List.of("b", "c"));
        assertThat(probes).hasSize(1);

        probes.getFirst().accept(ProbeResult.REFUSED);
        detector.onDisconnected(upstream, List.of("d"));

        assertThat(crashes).containsExactly(List.of(List.of("a"), List.of("b", "c")), List.of(List.of("d")));
        assertThat(probes).hasSize(1);
    }

    @Test
    void reportsNoCrashOfAnUpstreamThatListensOrDoesNotRespond() {
        detector.onDisconnected(upstream, List.of("a"));
        probes.getFirst().accept(ProbeResult.LISTENING);
        detector.onDisconnected(upstream, List.of("a"));
        probes.get(1).accept(ProbeResult.UNKNOWN);

        assertThat(crashes).isEmpty();
    }

    /** Guards against taking a stream that a crash cut off between two events for an answer. */
    @Test
    void tellsAResponseThatEndsWithItsConnectionFromACrash() {
        detector.onEndedWithConnection(upstream, List.of("a"), ended::add);
        assertThat(ended).isEmpty();
        probes.getFirst().accept(ProbeResult.LISTENING);
        assertThat(ended).containsExactly(ProbeResult.LISTENING);

        detector.onEndedWithConnection(upstream, List.of("b"), ended::add);
        probes.get(1).accept(ProbeResult.REFUSED);
        assertThat(ended).containsExactly(ProbeResult.LISTENING, ProbeResult.REFUSED);
        assertThat(crashes).containsExactly(List.of(List.of("b")));
    }

    /** Guards against completing a response of an upstream that has crashed, also if it has no prompt. */
    @Test
    void probesForEachResponseAfterACrash() {
        detector.onEndedWithConnection(upstream, List.of(), ended::add);
        probes.getFirst().accept(ProbeResult.REFUSED);
        detector.onEndedWithConnection(upstream, List.of(), ended::add);
        probes.get(1).accept(ProbeResult.REFUSED);
        detector.onEndedWithConnection(upstream, List.of(), ended::add);
        probes.get(2).accept(ProbeResult.LISTENING);

        assertThat(ended).containsExactly(ProbeResult.REFUSED, ProbeResult.REFUSED, ProbeResult.LISTENING);
        assertThat(crashes).isEmpty();
        assertThat(upstream.crashed()).isFalse();
    }

    /** Guards against judging a response by a probe that the upstream accepted before it crashed. */
    @Test
    void probesAgainForWhatEndedDuringAProbe() {
        detector.onEndedWithConnection(upstream, List.of("a"), ended::add);
        detector.onEndedWithConnection(upstream, List.of("b"), ended::add);
        detector.onDisconnected(upstream, List.of("c"));

        probes.getFirst().accept(ProbeResult.LISTENING);
        assertThat(ended).containsExactly(ProbeResult.LISTENING);
        assertThat(probes).hasSize(2);
        probes.get(1).accept(ProbeResult.REFUSED);

        assertThat(ended).containsExactly(ProbeResult.LISTENING, ProbeResult.REFUSED);
        assertThat(crashes).containsExactly(List.of(List.of("c"), List.of("b")));
    }

    /** Guards against missing a crash because the listening socket was closed a moment after the connections. */
    @Test
    void reportsACrashOfAnUpstreamThatStopsListeningAfterItsConnectionsEnded() {
        detector.onDisconnected(upstream, List.of("a"));
        for (int index = 0; index < 3; index++) {
            probes.get(index).accept(ProbeResult.LISTENING);
        }
        assertThat(upstream.crashed()).isFalse();
        probes.get(3).accept(ProbeResult.REFUSED);

        assertThat(crashes).containsExactly(List.of(List.of("a")));
        assertThat(upstream.crashed()).isTrue();
        assertThat(probes).hasSize(4);
    }

    @Test
    void endsTheSearchForACrashOfAnUpstreamThatGoesOnListening() {
        detector.onDisconnected(upstream, List.of("a"));
        for (int index = 0; index < probes.size(); index++) {
            probes.get(index).accept(ProbeResult.LISTENING);
        }
        assertThat(probes).hasSize(6);

        detector.onDisconnected(upstream, List.of("b"));
        probes.get(6).accept(ProbeResult.REFUSED);
        assertThat(crashes).containsExactly(List.of(List.of("b")));
    }

    /** Guards against a probe for each request of an upstream that cuts off many and goes on listening. */
    @Test
    void looksForACrashOfAnUpstreamWithOneLaterProbeAtATime() {
        detector.onDisconnected(upstream, List.of("a"));
        probes.getFirst().accept(ProbeResult.LISTENING);
        detector.onDisconnected(upstream, List.of("b"));
        probes.get(2).accept(ProbeResult.LISTENING);
        assertThat(probes).hasSize(3);
        probes.get(1).accept(ProbeResult.REFUSED);

        assertThat(crashes).containsExactly(List.of(List.of("a"), List.of("b")));
    }

    /** Guards against a late decision about a response because a crash is still looked for. */
    @Test
    void probesAtOnceForWhatEndsWhileACrashIsStillLookedFor() {
        detector.onDisconnected(upstream, List.of("a"));
        probes.getFirst().accept(ProbeResult.LISTENING);
        detector.onEndedWithConnection(upstream, List.of("b"), ended::add);
        probes.get(2).accept(ProbeResult.LISTENING);

        assertThat(ended).containsExactly(ProbeResult.LISTENING);
        assertThat(probes).hasSize(3);
    }

    @Test
    void reportsRequestsThatWereCutOffBeforeACrashThatAnotherProbeFound() {
        detector.onDisconnected(upstream, List.of("a"));
        probes.getFirst().accept(ProbeResult.LISTENING);
        detector.onDisconnected(upstream, List.of("b"));
        probes.get(2).accept(ProbeResult.REFUSED);
        probes.get(1).accept(ProbeResult.LISTENING);

        assertThat(crashes).containsExactly(List.of(List.of("b")), List.of(List.of("a")));
        assertThat(upstream.crashed()).isTrue();
    }

    /** Guards against taking a planned end for a crash because it was announced a moment after a request was cut. */
    @Test
    void endsTheSearchForACrashOfAnUpstreamThatIsLeaving() {
        detector.onDisconnected(upstream, List.of("a"));
        probes.getFirst().accept(ProbeResult.LISTENING);
        upstream.setLeaving();
        probes.get(1).accept(ProbeResult.REFUSED);

        assertThat(crashes).isEmpty();
    }

    @Test
    void takesOnlyARefusedConnectionForACrash() {
        assertThat(ProbeResult.of(null)).isEqualTo(ProbeResult.LISTENING);
        assertThat(ProbeResult.of(new ConnectException("Connection refused: /127.0.0.1:1")))
                .isEqualTo(ProbeResult.REFUSED);
        assertThat(ProbeResult.of(new ConnectTimeoutException("connection timed out")))
                .isEqualTo(ProbeResult.UNKNOWN);
        assertThat(ProbeResult.of(new SocketException("Network unreachable"))).isEqualTo(ProbeResult.UNKNOWN);
    }
}
