package org.kingcuproad.entry.coordinator;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ReadResult;
import org.kingcuproad.platform.WriteResult;
import org.kingcuproad.policy.claim.StoreCall;
import org.kingcuproad.policy.claim.StoreResult;
import org.kingcuproad.policy.mapswitch.LeaseHolder;
import org.kingcuproad.policy.stream.Bytes;
import org.kingcuproad.runtime.log.StructuredLog;

/**
 * Acquires and renews one lease object of the store. Every method is called on the event loop of the entry.
 *
 * <p>A write without an answer counts as not held until a read shows the own identifier.
 */
final class LeaseTask {

    private final ObjectStore store;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private final String key;
    private final LeaseHolder holder;
    private boolean held;

    /**
     * Creates a candidate.
     *
     * @param key key of the lease object
     * @param holderId identifier that no other process and no other start of this process uses
     */
    LeaseTask(ObjectStore store, EventLoop eventLoop, LongSupplier clockMs, String key, String holderId) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
        this.key = key;
        this.holder = new LeaseHolder(key, holderId, clockMs.getAsLong());
    }

    /** Returns the fencing token while the lease is held. */
    OptionalLong token() {
        return holder.token(clockMs.getAsLong());
    }

    /** Makes the next store call, if one is due. */
    void tick() {
        holder.tick(clockMs.getAsLong()).ifPresent(call -> {
            var unused = perform(call)
                    .exceptionally(failure -> new StoreResult.Uncertain())
                    .thenAcceptAsync(result -> onResult(call, result), eventLoop);
        });
        logChange();
    }

    private void onResult(StoreCall call, StoreResult result) {
        holder.onResult(call, result, clockMs.getAsLong());
        logChange();
    }

    private void logChange() {
        boolean now = token().isPresent();
        if (now != held) {
            held = now;
            StructuredLog.info(now ? "lease acquired" : "lease lost", Map.of("lease", key));
        }
    }

    private CompletableFuture<StoreResult> perform(StoreCall call) {
        return switch (call) {
            case StoreCall.Read read -> store.get(read.key()).thenApply(LeaseTask::read);
            case StoreCall.Create create ->
                store.create(create.key(), create.value().toArray()).thenApply(LeaseTask::written);
            case StoreCall.Update update ->
                store.update(update.key(), update.value().toArray(), update.version())
                        .thenApply(LeaseTask::written);
            case StoreCall.ListKeys ignored -> unexpected(call);
            case StoreCall.Delete ignored -> unexpected(call);
        };
    }

    private static CompletableFuture<StoreResult> unexpected(StoreCall call) {
        return CompletableFuture.failedFuture(new IllegalArgumentException("a lease does not need " + call));
    }

    private static StoreResult read(ReadResult result) {
        return switch (result) {
            case ReadResult.Found found ->
                new StoreResult.Found(
                        Bytes.wrap(found.object().value()), found.object().version());
            case ReadResult.Absent ignored -> new StoreResult.Missing();
            case ReadResult.Unavailable ignored -> new StoreResult.Uncertain();
        };
    }

    private static StoreResult written(WriteResult result) {
        return switch (result) {
            case WriteResult.Written written -> new StoreResult.Written(written.version());
            case WriteResult.VersionConflict ignored -> new StoreResult.Conflict();
            case WriteResult.Unavailable ignored -> new StoreResult.Uncertain();
        };
    }
}
