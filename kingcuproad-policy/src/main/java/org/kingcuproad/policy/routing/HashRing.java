package org.kingcuproad.policy.routing;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Ring of points of the available upstreams, which gives each prefix the same home at every entry.
 *
 * <p>Without a common home, every entry would send a prefix that it has not seen to another upstream, and the group
 * would compute and cache it several times. Look-ups take time logarithmic in the number of points.
 */
final class HashRing {

    /**
     * Points of one upstream; with 16 the shares of the ring differ by about a quarter, and the load bound does the
     * rest.
     */
    private static final int POINTS = 16;

    private static final long FACTOR = 0x9e3779b97f4a7c15L;

    private final TreeMap<Long, UpstreamState> points = new TreeMap<>();

    void add(UpstreamState state) {
        for (int point = 0; point < POINTS; point++) {
            points.put(point(state, point), state);
        }
    }

    void remove(UpstreamState state) {
        for (int point = 0; point < POINTS; point++) {
            points.remove(point(state, point), state);
        }
    }

    /**
     * Finds the home of a prefix.
     *
     * @param hash hash of the prefix
     * @return the upstream of the next point, or null if the ring is empty
     */
    @Nullable
    UpstreamState home(long hash) {
        Map.Entry<Long, UpstreamState> next = points.ceilingEntry(mix(hash));
        if (next == null) {
            next = points.firstEntry();
        }
        return next == null ? null : next.getValue();
    }

    private static long point(UpstreamState state, int point) {
        long hash = point;
        String name = state.upstream().name();
        for (int index = 0; index < name.length(); index++) {
            hash = mix(hash * FACTOR + name.charAt(index));
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = value * FACTOR;
        mixed = (mixed ^ (mixed >>> 32)) * FACTOR;
        return mixed ^ (mixed >>> 29);
    }
}
