package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/** Stand-in for the engine of one rank: begins a step when neither held nor frozen, with the map it has by then. */
final class FakeEngine {

    static final long NEVER = Long.MAX_VALUE;

    private final boolean checksFencing;
    private long map;
    private @Nullable SwitchId scheduled;
    private long holdStep = NEVER;
    private boolean frozen;
    private long fence;
    long begun;
    long begunMap;

    FakeEngine(boolean checksFencing, long map, long begun) {
        this.checksFencing = checksFencing;
        this.map = map;
        this.begun = begun;
    }

    boolean mayBegin(long step) {
        return !frozen && begun < step && holdStep > step;
    }

    void begin(long step) {
        SwitchId next = scheduled;
        if (next != null && step >= next.step()) {
            map = next.mapVersion();
            scheduled = null;
        }
        begun = step;
        begunMap = map;
    }

    boolean waitsAt(long step) {
        return holdStep == step && begun < step;
    }

    /** Whether a command with this token is carried out; an engine that ignores fencing carries out all. */
    boolean accepts(long token) {
        if (checksFencing && token < fence) {
            return false;
        }
        fence = Math.max(fence, token);
        return true;
    }

    long highestFence() {
        return fence;
    }

    boolean hold(long step) {
        if (begun >= step) {
            return false;
        }
        holdStep = step;
        return true;
    }

    void schedule(SwitchId id) {
        scheduled = id;
        holdStep = NEVER;
    }

    void release() {
        holdStep = NEVER;
    }

    long freeze() {
        frozen = true;
        return map;
    }

    void join(long baseMap, @Nullable SwitchId committed) {
        map = baseMap;
        scheduled = committed;
        if (committed != null && begun >= committed.step()) {
            begin(begun);
        }
        holdStep = NEVER;
        frozen = false;
    }
}
