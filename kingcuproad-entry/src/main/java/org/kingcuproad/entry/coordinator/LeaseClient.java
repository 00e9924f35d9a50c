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
 * Acquires and renews one lease object by executing the store calls of a {@link LeaseHolder}. Confined to the event
 * loop of the entry.
 *
 * <p>After a write without a response the lease counts as not held until a read returns the identifier of this holder.
 */
final class LeaseClient {

    private final ObjectStore store;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private final String key;
    private final LeaseHolder holder;
    private boolean held;

    /**
     * Creates a candidate for the lease.
     *
     * @param key key of the lease object
     * @param holderId identifier that is unique across processes and across restarts of this process
     */
    LeaseClient(ObjectStore store, EventLoop eventLoop, LongSupplier clockMs, String key, String holderId) {
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

    /** Issues the next store call if one is due. */
    void tick() {
        holder.tick(clockMs.getAsLong()).ifPresent(call -> {
            var unused = execute(call)
                    .exceptionally(failure -> new StoreResult.Uncertain())
                    .thenAcceptAsync(result -> onResult(call, result), eventLoop);
        });
        logIfChanged();
    }

    private void onResult(StoreCall call, StoreResult result) {
        holder.onResult(call, result, clockMs.getAsLong());
        logIfChanged();
    }

    private void logIfChanged() {
        boolean nowHeld = token().isPresent();
        if (nowHeld != held) {
            held = nowHeld;
            StructuredLog.info(nowHeld ? "lease acquired" : "lease lost", Map.of("lease", key));
        }
    }

    private CompletableFuture<StoreResult> execute(StoreCall call) {
        return switch (call) {
            case StoreCall.Read read -> store.get(read.key()).thenApply(LeaseClient::fromRead);
            case StoreCall.Create create ->
                store.create(create.key(), create.value().toArray()).thenApply(LeaseClient::fromWrite);
            case StoreCall.Update update ->
                store.update(update.key(), update.value().toArray(), update.version())
                        .thenApply(LeaseClient::fromWrite);
            case StoreCall.ListKeys ignored -> unsupportedCall(call);
            case StoreCall.Delete ignored -> unsupportedCall(call);
        };
    }

    private static CompletableFuture<StoreResult> unsupportedCall(StoreCall call) {
        return CompletableFuture.failedFuture(
                new IllegalArgumentException("unexpected store call for a lease: " + call));
    }

    private static StoreResult fromRead(ReadResult result) {
        return switch (result) {
            case ReadResult.Found found ->
                new StoreResult.Found(
                        Bytes.wrap(found.object().value()), found.object().version());
            case ReadResult.Absent ignored -> new StoreResult.Missing();
            case ReadResult.Unavailable ignored -> new StoreResult.Uncertain();
        };
    }

    private static StoreResult fromWrite(WriteResult result) {
        return switch (result) {
            case WriteResult.Written written -> new StoreResult.Written(written.version());
            case WriteResult.VersionConflict ignored -> new StoreResult.Conflict();
            case WriteResult.Unavailable ignored -> new StoreResult.Uncertain();
        };
    }
}
