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
 * <p>Entries also expire during an outage of the store, although their upstreams are alive. An entry that is missing
 * shortly after contact is restored is therefore kept for up to {@link #RECOVERY_GRACE_MS}; if it is still missing
 * then, it is removed. If {@link StoreContact} excludes an outage, it is removed at once.
 */
public final class UpstreamDirectory {

    /**
     * Grace period for missing entries after an outage. Live upstreams are registered again within about 2 s of the
     * store's recovery; 10% is added for delays.
     */
    public static final long RECOVERY_GRACE_MS = 2_200;

    /** Maximum difference between the times of day of two VMs; clocks may jump by seconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MS = 60_000;

    private final Map<String, UpstreamEntry> entries = new HashMap<>();
    private final Map<String, Long> removalTimesMs = new HashMap<>();
    private final StoreContact contact = new StoreContact();
    private long graceUntilMs = Long.MIN_VALUE / 2;

    /**
     * Returns the contact of this gateway with the store.
     *
     * @return the contact
     */
    public StoreContact contact() {
        return contact;
    }

    /**
     * Records a response from the store. A grace period for missing entries begins if the store was out of contact
     * before.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the response ends an interruption
     */
    public boolean onStoreContact(long nowMs) {
        boolean restored = contact.onResponse(nowMs) && !entries.isEmpty();
        if (restored) {
            graceUntilMs = nowMs + RECOVERY_GRACE_MS;
        }
        return restored;
    }

    /**
     * Replaces all entries by a complete listing. Missing entries are removed as by {@link #onRemoved}.
     *
     * @param listing all entries of the store
     * @param nowMs current time, in milliseconds
     */
    public void onListing(Collection<UpstreamEntry> listing, long nowMs) {
        Set<String> present = new HashSet<>();
        listing.forEach(entry -> {
            present.add(entry.id());
            onEntry(entry);
        });
        List<String> missing =
                entries.keySet().stream().filter(id -> !present.contains(id)).toList();
        missing.forEach(id -> onRemoved(id, nowMs));
    }

    /**
     * Adds or replaces an entry, and cancels its pending removal if there is one.
     *
     * @param entry the entry
     */
    public void onEntry(UpstreamEntry entry) {
        entries.put(entry.id(), entry);
        removalTimesMs.remove(entry.id());
    }

    /**
     * Removes an entry, either immediately or at the end of the grace period that follows an outage of the store.
     *
     * @param id id of the upstream
     * @param nowMs current time, in milliseconds
     */
    public void onRemoved(String id, long nowMs) {
        if (!entries.containsKey(id)) {
            return;
        }
        if (nowMs < graceUntilMs && !contact.outageExcluded()) {
            removalTimesMs.putIfAbsent(id, graceUntilMs);
        } else {
            entries.remove(id);
            removalTimesMs.remove(id);
        }
    }

    /**
     * Removes entries whose grace period has ended, or does so because no outage preceded it.
     *
     * @param nowMs current time, in milliseconds
     * @return ids of the removed entries
     */
    public List<String> removeExpired(long nowMs) {
        List<String> expired = removalTimesMs.entrySet().stream()
                .filter(removal -> removal.getValue() <= nowMs || contact.outageExcluded())
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(id -> {
            entries.remove(id);
            removalTimesMs.remove(id);
        });
        return expired;
    }

    /**
     * Returns the upstreams that may be running. Of several entries with the same address only the most recently
     * started upstream can be: after a power loss the entries of the previous upstreams stay in the store for some
     * seconds.
     *
     * <p>Entries of other writers must not hide a running upstream, so one that names an unknown service or a start
     * that is yet to come is left out.
     *
     * @param services names of the configured services, or empty if none are known yet
     * @param nowWallMs current time of day, in Unix milliseconds
     * @return a copy of the entries
     */
    public List<UpstreamEntry> entries(Set<String> services, long nowWallMs) {
        Map<String, UpstreamEntry> byAddress = new HashMap<>();
        entries.values().stream()
                .filter(entry -> services.isEmpty() || services.contains(entry.service()))
                .filter(entry -> entry.startedMs() <= nowWallMs + MAX_CLOCK_DIFFERENCE_MS)
                .forEach(entry -> byAddress.merge(
                        entry.host() + ":" + entry.port(),
                        entry,
                        (first, second) -> first.startedMs() >= second.startedMs() ? first : second));
        return new ArrayList<>(byAddress.values());
    }
}
