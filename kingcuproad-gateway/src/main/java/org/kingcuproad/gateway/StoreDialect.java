package org.kingcuproad.gateway;

import java.io.IOException;
import java.util.Optional;

/**
 * Requests and formats by which the stored objects of one kind are queried and decoded.
 *
 * @param <T> type that an object is decoded to
 */
public interface StoreDialect<T> {

    /**
     * Returns the name of the object kind, for log messages.
     *
     * @return name of the kind
     */
    String kind();

    /**
     * Returns the request target that lists objects.
     *
     * @param after name after which the listing continues, or empty for the first page
     * @return a request target
     */
    String listTarget(Optional<String> after);

    /**
     * Returns the request target of a relaxed listing, which is cheaper and may be a few seconds out of date.
     *
     * @return a request target
     */
    String relaxedListTarget();

    /**
     * Returns the request target that waits for changes.
     *
     * @param revision revision after which changes are returned
     * @param maxWatchMs maximum duration of the watch, in milliseconds
     * @return a request target
     */
    String watchTarget(long revision, long maxWatchMs);

    /**
     * Decodes a page of a listing.
     *
     * @param body response body
     * @return the page
     * @throws IOException if the body can't be decoded
     */
    StorePage<T> readPage(byte[] body) throws IOException;

    /**
     * Decodes the result of a watch.
     *
     * @param body response body
     * @return the changes
     * @throws IOException if the body can't be decoded
     */
    StoreChanges<T> readChanges(byte[] body) throws IOException;
}
