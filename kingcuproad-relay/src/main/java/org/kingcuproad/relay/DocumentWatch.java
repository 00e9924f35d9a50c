package org.kingcuproad.relay;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.StoredObject;
import org.kingcuproad.platform.Watch;
import org.kingcuproad.platform.WatchEnd;
import org.kingcuproad.platform.WatchEvent;
import org.kingcuproad.platform.WatchListener;
import org.kingcuproad.platform.environment.StoredDocument;
import org.kingcuproad.runtime.log.StructuredLog;

/** Watches the document of a stage in the store, for as long as it is wanted. Owned by one event loop. */
public final class DocumentWatch {

    private static final int REOPEN_DELAY_MS = 500;

    private final ObjectStore store;
    private final String key;
    private final EventLoop eventLoop;
    private final Consumer<VersionedDocument> listener;
    private Optional<Watch> watch = Optional.empty();
    private long version;
    private boolean wanted;

    /**
     * Creates a watch that is not open yet.
     *
     * @param store the store
     * @param key key of the document
     * @param eventLoop event loop that owns the watch
     * @param listener receives each valid document, on the event loop
     */
    public DocumentWatch(ObjectStore store, String key, EventLoop eventLoop, Consumer<VersionedDocument> listener) {
        this.store = store;
        this.key = key;
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /**
     * Opens or closes the watch.
     *
     * @param nowWanted whether this process should watch the store
     */
    public void setWanted(boolean nowWanted) {
        if (wanted == nowWanted) {
            return;
        }
        wanted = nowWanted;
        if (wanted) {
            open();
        } else {
            watch.ifPresent(Watch::cancel);
            watch = Optional.empty();
        }
    }

    private void open() {
        watch = Optional.of(store.watch(key, version, new WatchListener() {
            @Override
            public void onEvent(WatchEvent event) {
                eventLoop.execute(() -> accept(event));
            }

            @Override
            public void onEnded(WatchEnd end) {
                eventLoop.execute(() -> reopen(end));
            }
        }));
    }

    private void accept(WatchEvent event) {
        version = Math.max(version, event.version());
        if (event instanceof WatchEvent.Changed changed
                && changed.object().key().equals(key)) {
            read(changed.object());
        }
    }

    private void read(StoredObject object) {
        try {
            listener.accept(StoredDocument.read(object));
        } catch (KingcuproadException failure) {
            StructuredLog.warn(failure, "stored document is invalid", Map.of("key", key, "version", object.version()));
        }
    }

    private void reopen(WatchEnd end) {
        if (!wanted) {
            return;
        }
        if (end instanceof WatchEnd.HistoryLost) {
            version = 0;
        }
        eventLoop.schedule(
                () -> {
                    if (wanted) {
                        open();
                    }
                },
                REOPEN_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }
}
