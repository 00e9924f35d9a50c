package org.kingcuproad.gateway;

import java.util.List;

/**
 * One page of a listing.
 *
 * @param objects objects of the page
 * @param truncated whether more objects follow after the last one
 * @param revision revision of the store at the time of the listing
 * @param <T> type that an object is decoded to
 */
public record StorePage<T>(List<StoreObject<T>> objects, boolean truncated, long revision) {}
