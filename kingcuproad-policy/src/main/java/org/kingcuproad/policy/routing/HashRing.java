package org.kingcuproad.policy.routing;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Consistent hash ring of the available upstreams, which assigns each prefix the same home upstream at every entry.
 *
 * <p>Without a common home, each entry would send a prefix that is new to it to a different upstream, and the group
 * would compute and cache the prefix several times. Look-ups take time logarithmic in the number of virtual nodes.
 */
final class HashRing {

    /**
     * Virtual nodes per upstream. With 16, the upstreams' shares of the ring differ by about a quarter; the load bound
     * evens out the rest.
     */
    private static final int VIRTUAL_NODES = 16;

    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final TreeMap<Long, UpstreamState> virtualNodes = new TreeMap<>();

    void add(UpstreamState state) {
        for (int replica = 0; replica < VIRTUAL_NODES; replica++) {
            virtualNodes.put(position(state, replica), state);
        }
    }

    void remove(UpstreamState state) {
        for (int replica = 0; replica < VIRTUAL_NODES; replica++) {
            virtualNodes.remove(position(state, replica), state);
        }
    }

    /**
     * Returns the home upstream of a prefix.
     *
     * @param hash hash of the prefix
     * @return the upstream of the next virtual node, or null if the ring is empty
     */
    @Nullable
    UpstreamState home(long hash) {
        Map.Entry<Long, UpstreamState> next = virtualNodes.ceilingEntry(mix(hash));
        if (next == null) {
            next = virtualNodes.firstEntry();
        }
        return next == null ? null : next.getValue();
    }

    private static long position(UpstreamState state, int replica) {
        long hash = replica;
        String name = state.upstream().name();
        for (int index = 0; index < name.length(); index++) {
            hash = mix(hash * HASH_MULTIPLIER + name.charAt(index));
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = value * HASH_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 32)) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 29);
    }
}
