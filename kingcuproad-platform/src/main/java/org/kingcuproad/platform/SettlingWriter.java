package org.kingcuproad.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.kingcuproad.platform.WriteResult.Unavailable;
import org.kingcuproad.platform.WriteResult.VersionConflict;
import org.kingcuproad.platform.WriteResult.Written;

/**
 * Conditional writes whose outcome is settled when a response is lost: the object is read back and searched for the
 * operation id that the value carries.
 *
 * <p>If the object still has the version before the write, the same write is sent again: its condition makes sure that
 * it takes effect at most once, even if the first one is still on its way.
 */
public final class SettlingWriter {

    private static final long FIRST_PAUSE_MS = 20;
    private static final long MAX_PAUSE_MS = 500;

    private final ObjectStore store;
    private final long limitMs;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param limitMs longest time to settle a write, in milliseconds; the last call may end later by its own timeout
     */
    public SettlingWriter(ObjectStore store, long limitMs) {
        this.store = store;
        this.limitMs = limitMs;
    }

    /**
     * Creates an object if there is none.
     *
     * @param key key of the object
     * @param value the bytes, which carry an operation id
     * @param own recognises the operation id
     * @return what became of the write; {@code maybeApplied} only if it could not be settled in time
     */
    public CompletableFuture<WriteResult> create(String key, byte[] value, OwnWrite own) {
        return new Operation(key, 0, own, () -> store.create(key, value)).start();
    }

    /**
     * Replaces the value of an object if it has the expected version.
     *
     * @param key key of the object
     * @param value the bytes, which carry an operation id
     * @param expectedVersion version that the caller has read
     * @param own recognises the operation id
     * @return what became of the write; {@code maybeApplied} only if it could not be settled in time
     */
    public CompletableFuture<WriteResult> update(String key, byte[] value, long expectedVersion, OwnWrite own) {
        return new Operation(key, expectedVersion, own, () -> store.update(key, value, expectedVersion)).start();
    }

    /** One write from its first attempt to its outcome. */
    private final class Operation {

        private final String key;
        private final long expectedVersion;
        private final OwnWrite own;
        private final Supplier<CompletableFuture<WriteResult>> write;
        private final long startNs = System.nanoTime();
        private long pauseMs = FIRST_PAUSE_MS;

        /** An expected version of 0 stands for an absent object. */
        Operation(String key, long expectedVersion, OwnWrite own, Supplier<CompletableFuture<WriteResult>> write) {
            this.key = key;
            this.expectedVersion = expectedVersion;
            this.own = own;
            this.write = write;
        }

        CompletableFuture<WriteResult> start() {
            return write.get().thenCompose(result -> switch (result) {
                case Unavailable lost when lost.maybeApplied() -> readBack();
                case Unavailable notSent -> CompletableFuture.completedFuture(notSent);
                case Written written -> CompletableFuture.completedFuture(written);
                case VersionConflict conflict -> CompletableFuture.completedFuture(conflict);
            });
        }

        private CompletableFuture<WriteResult> readBack() {
            return store.get(key).thenCompose(result -> switch (result) {
                case ReadResult.Found found -> settle(found.object());
                case ReadResult.Absent absent -> settleAbsent();
                case ReadResult.Unavailable unavailable -> later(unavailable.detail(), this::readBack);
            });
        }

        private CompletableFuture<WriteResult> settle(StoredObject found) {
            var applied = own.appliedVersion(found);
            if (applied.isPresent()) {
                return CompletableFuture.completedFuture(new Written(applied.getAsLong()));
            }
            if (found.version() == expectedVersion) {
                return writeAgain();
            }
            return CompletableFuture.completedFuture(new VersionConflict(found.version()));
        }

        private CompletableFuture<WriteResult> settleAbsent() {
            return expectedVersion == 0 ? writeAgain() : CompletableFuture.completedFuture(new VersionConflict(0));
        }

        private CompletableFuture<WriteResult> writeAgain() {
            return write.get().thenCompose(result -> switch (result) {
                case Written written -> CompletableFuture.completedFuture(written);
                // The first attempt may be the write that this one met.
                case VersionConflict conflict -> readBack();
                case Unavailable unavailable -> later(unavailable.detail(), this::readBack);
            });
        }

        private CompletableFuture<WriteResult> later(String detail, Supplier<CompletableFuture<WriteResult>> next) {
            if (System.nanoTime() - startNs > TimeUnit.MILLISECONDS.toNanos(limitMs)) {
                return CompletableFuture.completedFuture(new Unavailable(detail, true));
            }
            Executor afterPause = CompletableFuture.delayedExecutor(pauseMs, TimeUnit.MILLISECONDS, Runnable::run);
            pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
            return CompletableFuture.supplyAsync(next, afterPause).thenCompose(settled -> settled);
        }
    }
}
