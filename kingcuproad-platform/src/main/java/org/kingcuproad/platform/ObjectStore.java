package org.kingcuproad.platform;

import java.util.concurrent.CompletableFuture;
import org.kingcuproad.model.Stage;

/**
 * The platform's object API and its list of VMs.
 *
 * <p>The futures never complete exceptionally for reasons of the network: an unavailable store is a result. They
 * complete on the event loop of the client, so dependent actions must not block. Each call counts against the
 * platform's rates, and a waiting watch counts as one call.
 */
public interface ObjectStore extends AutoCloseable {

    /** Largest value of an object, in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Reads an object.
     *
     * @param key key of the object
     * @return what became of the read
     */
    CompletableFuture<ReadResult> get(String key);

    /**
     * Creates an object if there is none.
     *
     * @param key key of the object
     * @param value the bytes
     * @return what became of the write
     */
    CompletableFuture<WriteResult> create(String key, byte[] value);

    /**
     * Replaces the value of an object if it has the expected version.
     *
     * @param key key of the object
     * @param value the bytes
     * @param expectedVersion version that the caller has read
     * @return what became of the write
     */
    CompletableFuture<WriteResult> update(String key, byte[] value, long expectedVersion);

    /**
     * Deletes an object if it has the expected version.
     *
     * @param key key of the object
     * @param expectedVersion version that the caller has read
     * @return what became of the write
     */
    CompletableFuture<WriteResult> delete(String key, long expectedVersion);

    /**
     * Lists objects.
     *
     * @param prefix prefix of the keys
     * @return what became of the list
     */
    CompletableFuture<ListResult> list(String prefix);

    /**
     * Watches objects on a connection of its own.
     *
     * @param prefix prefix of the keys
     * @param sinceVersion changes after this version are sent; 0 for the current state and all later changes
     * @param listener receives the changes
     * @return the watch, which also ends by itself when the connection breaks
     */
    Watch watch(String prefix, long sinceVersion, WatchListener listener);

    /**
     * Lists the VMs of a stage.
     *
     * @param stage the stage
     * @return what became of the list
     */
    CompletableFuture<VmListResult> vms(Stage stage);

    /** Closes all connections. */
    @Override
    void close();
}
