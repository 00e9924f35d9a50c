package org.kingcuproad.gateway;

import java.io.IOException;
import java.util.Optional;

/**
 * How the objects of one kind are asked for and read.
 *
 * @param <T> what an object describes
 */
public interface StoreDialect<T> {

    /**
     * Returns the kind, for logs.
     *
     * @return name of the kind
     */
    String kind();

    /**
     * Returns the request target that lists objects.
     *
     * @param after name after which the listing goes on, or empty for the first page
     * @return a request target
     */
    String listTarget(Optional<String> after);

    /**
     * Returns the request target of a cheap listing that may be some seconds old.
     *
     * @return a request target
     */
    String relaxedListTarget();

    /**
     * Returns the request target that waits for changes.
     *
     * @param revision revision after which changes are wanted
     * @param waitMs longest wait, in milliseconds
     * @return a request target
     */
    String watchTarget(long revision, long waitMs);

    /**
     * Reads a page of a listing.
     *
     * @param body body of the answer
     * @return the page
     * @throws IOException if the body can't be read
     */
    StorePage<T> readPage(byte[] body) throws IOException;

    /**
     * Reads changes.
     *
     * @param body body of the answer
     * @return the changes
     * @throws IOException if the body can't be read
     */
    StoreChanges<T> readChanges(byte[] body) throws IOException;
}
