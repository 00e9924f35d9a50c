package org.kingcuproad.agent;

import java.util.concurrent.CompletableFuture;
import org.kingcuproad.platform.ListResult;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectVersion;
import org.kingcuproad.platform.ReadResult;
import org.kingcuproad.platform.WriteResult;
import org.kingcuproad.policy.claim.StoreCall;
import org.kingcuproad.policy.claim.StoreResult;
import org.kingcuproad.policy.stream.Bytes;

/** Executes the store calls of claim shards on the object store. */
final class StoreCallExecutor {

    private final ObjectStore store;

    StoreCallExecutor(ObjectStore store) {
        this.store = store;
    }

    CompletableFuture<StoreResult> perform(StoreCall call) {
        CompletableFuture<StoreResult> result = switch (call) {
            case StoreCall.ListKeys list -> store.list(list.prefix()).thenApply(StoreCallExecutor::listed);
            case StoreCall.Read read -> store.get(read.key()).thenApply(StoreCallExecutor::read);
            case StoreCall.Create create ->
                store.create(create.key(), create.value().toArray()).thenApply(StoreCallExecutor::written);
            case StoreCall.Update update ->
                store.update(update.key(), update.value().toArray(), update.version())
                        .thenApply(StoreCallExecutor::written);
            case StoreCall.Delete delete ->
                store.delete(delete.key(), delete.version()).thenApply(StoreCallExecutor::written);
        };
        return result.exceptionally(failure -> new StoreResult.Uncertain());
    }

    private static StoreResult listed(ListResult result) {
        return switch (result) {
            case ListResult.Listed listed ->
                new StoreResult.Listed(
                        listed.objects().stream().map(ObjectVersion::key).toList());
            case ListResult.Unavailable ignored -> new StoreResult.Uncertain();
        };
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
