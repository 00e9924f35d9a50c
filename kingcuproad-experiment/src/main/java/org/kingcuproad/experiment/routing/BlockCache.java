package org.kingcuproad.experiment.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kingcuproad.policy.routing.CacheEvent;
import org.kingcuproad.policy.routing.PromptPrefix;

/** Prompt prefix cache of one model engine: least recently used blocks leave first. */
final class BlockCache {

    private final int capacityBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private List<CacheEvent> events = new ArrayList<>();

    BlockCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns the length of the longest cached prefix, and marks its blocks as used. */
    int match(PromptPrefix prefix) {
        int matched = 0;
        while (matched < prefix.blocks() && blocks.get(prefix.hash(matched)) != null) {
            matched++;
        }
        return matched;
    }

    void add(PromptPrefix prefix) {
        for (int block = 0; block < prefix.blocks(); block++) {
            if (blocks.put(prefix.hash(block), Boolean.TRUE) == null) {
                events.add(new CacheEvent(prefix.hash(block), false));
            }
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
            events.add(new CacheEvent(oldest.next(), true));
            oldest.remove();
        }
    }

    List<CacheEvent> drainEvents() {
        List<CacheEvent> drained = events;
        events = new ArrayList<>();
        return drained;
    }
}
