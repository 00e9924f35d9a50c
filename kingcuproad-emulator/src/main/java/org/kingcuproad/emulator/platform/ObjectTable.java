package org.kingcuproad.emulator.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The objects with their store-wide versions. Used on one event loop. */
final class ObjectTable {

    /** Deletions beyond this number are forgotten; a watch from before them has to list again. */
    private static final int MAX_DELETIONS = 10_000;

    private final TreeMap<String, ObjectState> objects = new TreeMap<>();
    private final TreeMap<Long, String> deletions = new TreeMap<>();
    private long version;
    private long oldestWatchable;

    long version() {
        return version;
    }

    /** Returns the version below which a watch can't start. */
    long oldestWatchable() {
        return oldestWatchable;
    }

    Optional<ObjectState> find(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** Returns the version of an object, or 0 if there is none. */
    long versionOf(String key) {
        return find(key).map(ObjectState::version).orElse(0L);
    }

    ObjectState put(String key, byte[] value) {
        version++;
        ObjectState state = new ObjectState(key, version, Optional.of(value));
        objects.put(key, state);
        return state;
    }

    ObjectState delete(String key) {
        version++;
        objects.remove(key);
        deletions.put(version, key);
        if (deletions.size() > MAX_DELETIONS) {
            oldestWatchable = deletions.pollFirstEntry().getKey();
        }
        return new ObjectState(key, version, Optional.empty());
    }

    List<ObjectState> list(String prefix) {
        return withPrefix(prefix).toList();
    }

    /** Returns the latest state of each object that changed after a version, in the order of versions. */
    List<ObjectState> changesSince(String prefix, long since) {
        List<ObjectState> changes = new ArrayList<>(
                withPrefix(prefix).filter(state -> state.version() > since).toList());
        for (Map.Entry<Long, String> deletion : deletions.tailMap(since, false).entrySet()) {
            if (deletion.getValue().startsWith(prefix)) {
                changes.add(new ObjectState(deletion.getValue(), deletion.getKey(), Optional.empty()));
            }
        }
        changes.sort(Comparator.comparingLong(ObjectState::version));
        return changes;
    }

    /** Forgets the history, as the platform does with changes that are too old. */
    void forgetHistory() {
        deletions.clear();
        oldestWatchable = version;
    }

    private Stream<ObjectState> withPrefix(String prefix) {
        return objects.tailMap(prefix).values().stream()
                .takeWhile(state -> state.key().startsWith(prefix));
    }
}
