package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/** Guards against losing a quarantine that the store has refused, because it sent its last response twice. */
class QuarantineStoreTest {

    private static final long WITHIN_S = 5;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final AtomicInteger saves = new AtomicInteger();
    private final Semaphore listed = new Semaphore(0);
    private final Semaphore saved = new Semaphore(0);

    @AfterEach
    void close() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private String respond(String request) {
        if (!request.startsWith("POST")) {
            listed.release();
            return RepeatingServer.response(200, "{}");
        }
        saved.release();
        return RepeatingServer.response(saves.incrementAndGet() == 1 ? 503 : 201, "{}");
    }

    @Test
    void savesAQuarantineAgainThatWasRefused() throws Exception {
        try (RepeatingServer server = new RepeatingServer(this::respond)) {
            QuarantineStore store = new QuarantineStore(
                    loops.next(),
                    new FakeQuarantines(),
                    new SerialHttpConnection(loops.next(), server.address()),
                    prompt -> {},
                    new DecisionLog(new LineSink(OutputStream.nullOutputStream()), System::currentTimeMillis));
            loops.next().execute(store::start);
            assertThat(listed.tryAcquire(WITHIN_S, TimeUnit.SECONDS)).isTrue();

            loops.next().execute(() -> store.save(new QuarantinedPrompt("service", Set.of("part"))));

            assertThat(saved.tryAcquire(2, WITHIN_S, TimeUnit.SECONDS))
                    .as("%d calls to save it", saves.get())
                    .isTrue();
            loops.next().submit(store::close).sync();
        }
    }
}
