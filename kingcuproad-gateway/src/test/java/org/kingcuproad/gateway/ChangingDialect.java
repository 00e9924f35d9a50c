package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;

/** Dialect whose objects change while the gateway watches them. */
final class ChangingDialect<T> extends FakeDialect<T> {

    private final LinkedBlockingQueue<StoreChange<T>> changes = new LinkedBlockingQueue<>();

    ChangingDialect(List<StoreObject<T>> objects) {
        super(objects);
    }

    ChangingDialect(List<StoreObject<T>> objects, String listTarget) {
        super(objects, listTarget);
    }

    /** Makes the next watch of the gateway report changes. */
    void change(List<StoreChange<T>> next) {
        changes.addAll(next);
    }

    @Override
    public StoreChanges<T> readChanges(byte[] body) {
        List<StoreChange<T>> reported = new ArrayList<>();
        changes.drainTo(reported);
        return new StoreChanges<>(reported, 1);
    }
}
