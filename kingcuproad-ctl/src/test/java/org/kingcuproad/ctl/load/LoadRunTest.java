package org.kingcuproad.ctl.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.EngineStandIn;

/** Guards against requests that a run loses from its counts. */
class LoadRunTest {

    private static final int TOKENS = 4;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void everyRequestOfAHealthyEngineIsComplete() throws Exception {
        LoadSummary summary = run(EngineSettings.of("127.0.0.1", 0));
        assertThat(summary.faultless()).isTrue();
        assertThat(summary.complete()).isEqualTo(summary.due()).isPositive();
    }

    @Test
    void everyStreamThatBreaksOffIsIncomplete() throws Exception {
        LoadSummary summary = run(EngineSettings.of("127.0.0.1", 0).withCloseAfterTokens(2));
        long incomplete = summary.incomplete().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        assertThat(summary.complete()).isZero();
        assertThat(incomplete).isEqualTo(summary.due()).isPositive();
    }

    @Test
    void everyRefusedConnectionIsAnError() throws Exception {
        EngineStandIn engine = EngineStandIn.start(eventLoops, EngineSettings.of("127.0.0.1", 0));
        engine.close();
        LoadSummary summary = runAgainst(engine.port());
        assertThat(summary.errors()).containsOnlyKeys("connect-failed").containsValue(summary.due());
        assertThat(summary.faultless()).isFalse();
    }

    private LoadSummary run(EngineSettings engineSettings) throws Exception {
        EngineStandIn engine = EngineStandIn.start(eventLoops, engineSettings);
        try {
            return runAgainst(engine.port());
        } finally {
            engine.close();
        }
    }

    private static LoadSummary runAgainst(int port) throws InterruptedException {
        Duration duration = Duration.ofMillis(500);
        String target = "http://127.0.0.1:" + port;
        return new LoadRun(new LoadSettings(target, "", "", "m", TOKENS, true, 50, 0, Duration.ZERO, duration)).run();
    }
}
