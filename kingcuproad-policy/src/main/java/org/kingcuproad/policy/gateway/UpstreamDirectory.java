package org.kingcuproad.policy.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The upstreams known from the store.
 *
 * <p>Entries also lapse while the store is away, although their upstreams live. So an entry that is missing shortly
 * after contact was regained stays for {@link #RETURN_GRACE_MS} more; one that is then still missing is gone.
 */
public final class UpstreamDirectory {

    /** Live upstreams are back in the store within about two seconds of its return; a tenth is added for delays. */
    public static final long RETURN_GRACE_MS = 2_200;

    /** Time without contact after which entries may have lapsed: shorter than three of the shortest heartbeats. */
    public static final long BLACKOUT_MS = 2_000;

    private final Map<String, UpstreamEntry> entries = new HashMap<>();
    private final Map<String, Long> removeAtMs = new HashMap<>();
    private long lastContactMs = Long.MIN_VALUE / 2;
    private long graceUntilMs = Long.MIN_VALUE / 2;

    /**
     * Notes that the store answered.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onContact(long nowMs) {
        if (nowMs - lastContactMs > BLACKOUT_MS && !entries.isEmpty()) {
            graceUntilMs = nowMs + RETURN_GRACE_MS;
        }
        lastContactMs = nowMs;
    }

    /**
     * Replaces all entries by a complete listing.
     *
     * @param listed all entries of the store
     * @param nowMs current time, in milliseconds
     */
    public void onListing(Collection<UpstreamEntry> listed, long nowMs) {
        Set<String> present = new HashSet<>();
        listed.forEach(entry -> {
            present.add(entry.id());
            onEntry(entry);
        });
        List<String> missing =
                entries.keySet().stream().filter(id -> !present.contains(id)).toList();
        missing.forEach(id -> onRemoved(id, nowMs));
    }

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry
     */
    public void onEntry(UpstreamEntry entry) {
        entries.put(entry.id(), entry);
        removeAtMs.remove(entry.id());
    }

    /**
     * Removes an entry, at once or after the grace that follows an outage of the store.
     *
     * @param id id of the upstream
     * @param nowMs current time, in milliseconds
     */
    public void onRemoved(String id, long nowMs) {
        if (!entries.containsKey(id)) {
            return;
        }
        if (nowMs < graceUntilMs) {
            removeAtMs.putIfAbsent(id, graceUntilMs);
        } else {
            entries.remove(id);
            removeAtMs.remove(id);
        }
    }

    /**
     * Removes entries whose grace has ended.
     *
     * @param nowMs current time, in milliseconds
     * @return ids of the removed entries
     */
    public List<String> expire(long nowMs) {
        List<String> expired = removeAtMs.entrySet().stream()
                .filter(removal -> removal.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(id -> {
            entries.remove(id);
            removeAtMs.remove(id);
        });
        return expired;
    }

    /**
     * Returns the upstreams that may exist. Of several entries with one address only the youngest can: after a loss of
     * power the entries of the former upstreams stay in the store for some seconds.
     *
     * @return a copy of the entries
     */
    public List<UpstreamEntry> entries() {
        Map<String, UpstreamEntry> byAddress = new HashMap<>();
        entries.values()
                .forEach(entry -> byAddress.merge(
                        entry.host() + ":" + entry.port(),
                        entry,
                        (one, other) -> one.bornMs() >= other.bornMs() ? one : other));
        return new ArrayList<>(byAddress.values());
    }
}
