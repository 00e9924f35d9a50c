package org.kingcuproad.gateway;

import java.util.List;

/**
 * A page of a listing.
 *
 * @param objects the objects
 * @param truncated whether more follow after the last one
 * @param revision revision of the store at the time of the listing
 * @param <T> what an object describes
 */
public record StorePage<T>(List<StoreObject<T>> objects, boolean truncated, long revision) {}
