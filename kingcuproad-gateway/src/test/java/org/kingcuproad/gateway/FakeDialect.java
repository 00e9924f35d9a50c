package org.kingcuproad.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Dialect with a fixed list of objects; the fake store responds to every call with an empty body. */
class FakeDialect<T> implements StoreDialect<T> {

    private final List<StoreObject<T>> objects;

    private final String listTarget;

    FakeDialect(List<StoreObject<T>> objects) {
        this(objects, "/list");
    }

    FakeDialect(List<StoreObject<T>> objects, String listTarget) {
        this.objects = objects;
        this.listTarget = listTarget;
    }

    @Override
    public String kind() {
        return "fake";
    }

    @Override
    public String listTarget(Optional<String> after) {
        return listTarget;
    }

    @Override
    public String relaxedListTarget() {
        return "/list";
    }

    @Override
    public String watchTarget(long revision, long maxWatchMs) {
        return "/watch";
    }

    @Override
    public StorePage<T> readPage(byte[] body) throws IOException {
        return new StorePage<>(objects, false, 1);
    }

    @Override
    public StoreChanges<T> readChanges(byte[] body) {
        return new StoreChanges<>(List.of(), 1);
    }
}
