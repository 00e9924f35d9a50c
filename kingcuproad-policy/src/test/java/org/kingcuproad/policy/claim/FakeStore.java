package org.kingcuproad.policy.claim;

import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the object API: versions increase over the whole store, updates are conditional. */
final class FakeStore {

    /** An object. */
    record Stored(org.kingcuproad.policy.stream.Bytes value, long version) {}

    final Map<String, Stored> objects = new TreeMap<>();
    private final boolean conditional;
    private long version;
    long writesCount;
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
                Stored found = objects.get(read.key());
                yield found == null ? new StoreResult.Missing() : new StoreResult.Found(found.value(), found.version());
            }
            case StoreCall.Create create ->
                objects.containsKey(create.key()) && conditional
                        ? new StoreResult.Conflict()
                        : put(create.key(), create.value());
            case StoreCall.Update update -> {
                Stored found = objects.get(update.key());
                yield conditional && (found == null || found.version() != update.version())
                        ? new StoreResult.Conflict()
                        : put(update.key(), update.value());
            }
            case StoreCall.Delete delete -> {
                Stored found = objects.get(delete.key());
                if (found == null || found.version() != delete.version()) {
                    yield new StoreResult.Conflict();
                }
                objects.remove(delete.key());
                yield new StoreResult.Written(++version);
            }
        };
    }

    private StoreResult put(String key, org.kingcuproad.policy.stream.Bytes value) {
        objects.put(key, new Stored(value, ++version));
        writesCount++;
        writtenBytes += value.length();
        return new StoreResult.Written(version);
    }
}
