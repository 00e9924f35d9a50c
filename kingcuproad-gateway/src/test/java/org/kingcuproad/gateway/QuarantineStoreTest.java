package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/** Guards against losing a quarantine that the store has refused, because it sent its last response twice. */
class QuarantineStoreTest {

    private static final long WITHIN_S = 5;
    private static final QuarantinedPrompt STORED = new QuarantinedPrompt("service", Set.of("stored"));

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final AtomicInteger listings = new AtomicInteger();
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

    private QuarantineStore store(RepeatingServer server, Consumer<QuarantinedPrompt> onStored) {
        return new QuarantineStore(
                loops.next(),
                Clock.SYSTEM,
                new FakeQuarantines(STORED),
                new SerialHttpConnection(loops.next(), server.address()),
                onStored,
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), System::currentTimeMillis));
    }

    @Test
    void savesAQuarantineAgainThatWasRefused() throws Exception {
        try (RepeatingServer server = new RepeatingServer(this::respond)) {
            QuarantineStore store = store(server, prompt -> {});
            loops.next().execute(store::start);
            assertThat(listed.tryAcquire(WITHIN_S, TimeUnit.SECONDS)).isTrue();

            loops.next().execute(() -> store.save(new QuarantinedPrompt("service", Set.of("part"))));

            assertThat(saved.tryAcquire(2, WITHIN_S, TimeUnit.SECONDS))
                    .as("%d calls to save it", saves.get())
                    .isTrue();
            loops.next().submit(store::close).sync();
        }
    }

    /** Returns the responses of a store whose first listings are bad. */
    private Function<String, String> listingsAfter(int badListings, String bad) {
        return request -> request.startsWith("POST")
                ? respond(request)
                : listings.incrementAndGet() <= badListings ? bad : RepeatingServer.response(200, "{}");
    }

    private void assertReadsAgainAfter(String bad) throws Exception {
        Semaphore stored = new Semaphore(0);
        try (RepeatingServer server = new RepeatingServer(listingsAfter(1, bad))) {
            QuarantineStore store = store(server, prompt -> stored.release());
            loops.next().execute(store::start);

            assertThat(stored.tryAcquire(WITHIN_S, TimeUnit.SECONDS))
                    .as("quarantine read in %d listings", listings.get())
                    .isTrue();
            loops.next().submit(store::close).sync();
        }
    }

    /** Guards against a gateway that lacks the stored quarantines until its next start. */
    @Test
    void readsAMalformedListingAgain() throws Exception {
        assertReadsAgainAfter(RepeatingServer.response(200, FakeQuarantines.MALFORMED));
    }

    @Test
    void readsAFailedListingAgain() throws Exception {
        assertReadsAgainAfter(RepeatingServer.response(503, "{}"));
    }

    private void assertSavesBeside(String bad) throws Exception {
        try (RepeatingServer server = new RepeatingServer(listingsAfter(Integer.MAX_VALUE, bad))) {
            QuarantineStore store = store(server, prompt -> {});
            loops.next().execute(store::start);
            loops.next().execute(() -> store.save(STORED));

            assertThat(saved.tryAcquire(2, WITHIN_S, TimeUnit.SECONDS))
                    .as("%d calls to save it", saves.get())
                    .isTrue();
            loops.next().submit(store::close).sync();
        }
    }

    @Test
    void savesAQuarantineWhileListingsAreMalformed() throws Exception {
        assertSavesBeside(RepeatingServer.response(200, FakeQuarantines.MALFORMED));
    }

    /** Guards against a listing that fails and holds up the quarantines that are to be saved. */
    @Test
    void savesAQuarantineWhileListingsFail() throws Exception {
        assertSavesBeside(RepeatingServer.response(503, "{}"));
    }
}
