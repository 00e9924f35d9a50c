package org.kingcuproad.agent;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.EngineStandIn;
import org.kingcuproad.emulator.service.ServiceSettings;
import org.kingcuproad.emulator.service.ServiceStandIn;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.wire.proto.Dispatch;

/** An agent and its upstream on the loopback address, with a clock that can be advanced. */
final class AgentFixture implements AutoCloseable {

    static final long INCARNATION = 7;
    static final int MAX_REMEMBERED = 12;

    private static final int TIMEOUT_SECONDS = 20;

    final AtomicLong clockOffsetMs = new AtomicLong();
    private final NioEventLoopGroup upstreamLoops = new NioEventLoopGroup(1);
    final EngineStandIn engine;
    final ServiceStandIn service;
    final Agent agent;

    private AgentFixture(EngineSettings engineSettings, ServiceSettings serviceSettings, boolean model)
            throws KingcuproadException {
        engine = EngineStandIn.start(upstreamLoops, engineSettings);
        service = ServiceStandIn.start(upstreamLoops, serviceSettings);
        int port = model ? engine.port() : service.port();
        AgentTiming timing = AgentTiming.standard().withReportIntervalMs(100).withIdleLimitMs(5_000);
        agent = Agent.start(
                AgentOptions.of("u-1", "http://127.0.0.1:" + port, INCARNATION)
                        .withTiming(timing)
                        .withCapacity(4, 2)
                        .withMaxRemembered(MAX_REMEMBERED),
                this::nowMs);
    }

    static AgentFixture model(EngineSettings settings) throws KingcuproadException {
        return new AgentFixture(settings, ServiceSettings.of("127.0.0.1", 0), true);
    }

    static AgentFixture service(ServiceSettings settings) throws KingcuproadException {
        return new AgentFixture(EngineSettings.of("127.0.0.1", 0), settings, false);
    }

    static EngineSettings engineSettings() {
        return EngineSettings.of("127.0.0.1", 0);
    }

    static ServiceSettings serviceSettings() {
        return ServiceSettings.of("127.0.0.1", 0);
    }

    static Dispatch.Builder chatDispatch(String requestId, int tokens) {
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + tokens + "}";
        return ExecuteClient.dispatch(requestId, INCARNATION, "POST", "/v1/chat/completions", body)
                .setIdempotent(true);
    }

    static Dispatch.Builder orderDispatch(String requestId) {
        return ExecuteClient.dispatch(requestId, INCARNATION, "POST", "/orders", "{\"item\":\"bubble-lining\"}");
    }

    ExecuteClient connect() {
        return new ExecuteClient(agent.port());
    }

    /** Waits until a condition holds; fails after {@link #TIMEOUT_SECONDS}. */
    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("not within " + TIMEOUT_SECONDS + " s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() {
        agent.close();
        engine.close();
        service.close();
        upstreamLoops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMs.get();
    }
}
