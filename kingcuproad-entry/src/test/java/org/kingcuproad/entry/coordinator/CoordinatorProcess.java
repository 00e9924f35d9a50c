package org.kingcuproad.entry.coordinator;

import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;

/**
 * A coordinator with its own event loop and a manual clock. While its clock is not advanced, the coordinator still
 * considers its lease held, like a paused process that has not read its clock yet.
 */
final class CoordinatorProcess implements AutoCloseable {

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final AtomicLong clockMs = new AtomicLong(1_000_000);
    private final ObjectStore store;
    private final RequestedMapSource requestedMaps = new RequestedMapSource();
    private final MapCoordinator coordinator;
    private volatile CompletableFuture<Void> mapWriteResumed = CompletableFuture.completedFuture(null);

    CoordinatorProcess(String name, String platformUrl, EnvironmentDocument document, Map<String, HostPort> addresses) {
        store = HttpObjectStore.open(ObjectStoreSettings.of(platformUrl), eventLoops);
        coordinator = new MapCoordinator(
                name, "kitchen", Stage.PRODUCTION, pausableStore(), eventLoops.next(), clockMs::get, requestedMaps);
        runOnEventLoop(() -> {
            coordinator.update(document, addresses);
            coordinator.start();
        });
    }

    /** Pauses the coordinator after its next write of a map object, until the returned future completes. */
    CompletableFuture<Void> pauseAfterMapWrite() {
        CompletableFuture<Void> resume = new CompletableFuture<>();
        mapWriteResumed = resume;
        return resume;
    }

    void advance(long ms) {
        clockMs.addAndGet(ms);
    }

    OptionalLong token(String group) {
        return eventLoops
                .next()
                .submit(() -> coordinator.token(group))
                .syncUninterruptibly()
                .getNow();
    }

    CompletableFuture<SwitchOutcome> request(String group, MapTarget target) {
        return eventLoops
                .next()
                .submit(() -> requestedMaps.request(group, target))
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        runOnEventLoop(coordinator::close);
        store.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void runOnEventLoop(Runnable action) {
        eventLoops.next().submit(action).syncUninterruptibly();
    }

    private ObjectStore pausableStore() {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    Object result;
                    try {
                        result = method.invoke(store, arguments);
                    } catch (InvocationTargetException failure) {
                        throw failure.getCause();
                    }
                    boolean write = method.getName().equals("create")
                            || method.getName().equals("update");
                    return write && ((String) arguments[0]).startsWith("maps/")
                            ? ((CompletableFuture<?>) result)
                                    .thenCombine(mapWriteResumed, (written, resumed) -> written)
                            : result;
                });
    }
}
