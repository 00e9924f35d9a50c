package org.kingcuproad.emulator.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The expert maps of one engine. Used on the event loop of its group. */
final class EngineMaps {

    /** Value of a hold that is not set. */
    static final long NO_HOLD = 0;

    private final boolean checksFencing;
    private final Map<Long, Long> loadedAtMs = new HashMap<>();
    private final TreeMap<Long, Long> scheduled = new TreeMap<>();
    private long highestFence;
    private long holdStep = NO_HOLD;
    private long mapVersion;

    EngineMaps(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    long mapVersion() {
        return mapVersion;
    }

    long holdStep() {
        return holdStep;
    }

    long highestFence() {
        return highestFence;
    }

    /** Tells whether a command may take effect. */
    boolean admit(long fence) {
        if (checksFencing && fence < highestFence) {
            return false;
        }
        highestFence = Math.max(highestFence, fence);
        return true;
    }

    /** Begins to load a map unless that was done; tells whether it is loaded. */
    boolean load(long version, long loadMs, long nowMs) {
        return nowMs >= loadedAtMs.computeIfAbsent(version, added -> nowMs + loadMs);
    }

    boolean loaded(long version, long nowMs) {
        return nowMs >= loadedAtMs.getOrDefault(version, Long.MAX_VALUE);
    }

    void hold(long step) {
        holdStep = step;
    }

    void release() {
        holdStep = NO_HOLD;
    }

    void schedule(long version, long step) {
        scheduled.put(step, version);
    }

    void replaceSchedule(long version, long step) {
        scheduled.clear();
        scheduled.put(step, version);
    }

    boolean holds(long step) {
        return holdStep != NO_HOLD && holdStep <= step;
    }

    /** Uses the map that is scheduled for a step. */
    void begin(long step) {
        while (!scheduled.isEmpty() && scheduled.firstKey() <= step) {
            mapVersion = scheduled.pollFirstEntry().getValue();
        }
    }
}
