package org.kingcuproad.policy.claim;

import java.util.Map;
import java.util.TreeMap;

/** In-memory object store: versions increase across all objects, and writes are conditional unless disabled. */
final class FakeStore {

    /** An object with its version. */
    record StoredObject(org.kingcuproad.policy.stream.Bytes value, long version) {}

    final Map<String, StoredObject> objects = new TreeMap<>();
    private final boolean conditional;
    private long version;
    long writeCount;
    long writtenBytes;

    FakeStore(boolean conditional) {
        this.conditional = conditional;
    }

    StoreResult apply(StoreCall call) {
        return switch (call) {
            case StoreCall.ListKeys list ->
                new StoreResult.Listed(objects.keySet().stream()
                        .filter(key -> key.startsWith(list.prefix()))
                        .toList());
            case StoreCall.Read read -> {
                StoredObject found = objects.get(read.key());
                yield found == null ? new StoreResult.Missing() : new StoreResult.Found(found.value(), found.version());
            }
            case StoreCall.Create create ->
                objects.containsKey(create.key()) && conditional
                        ? new StoreResult.Conflict()
                        : put(create.key(), create.value());
            case StoreCall.Update update -> {
                StoredObject found = objects.get(update.key());
                yield conditional && (found == null || found.version() != update.version())
                        ? new StoreResult.Conflict()
                        : put(update.key(), update.value());
            }
            case StoreCall.Delete delete -> {
                StoredObject found = objects.get(delete.key());
                if (found == null || found.version() != delete.version()) {
                    yield new StoreResult.Conflict();
                }
                objects.remove(delete.key());
                yield new StoreResult.Written(++version);
            }
        };
    }

    private StoreResult put(String key, org.kingcuproad.policy.stream.Bytes value) {
        objects.put(key, new StoredObject(value, ++version));
        writeCount++;
        writtenBytes += value.length();
        return new StoreResult.Written(version);
    }
}
