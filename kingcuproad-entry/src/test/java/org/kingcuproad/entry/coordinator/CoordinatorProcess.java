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
 * A coordinator with an event loop and a clock of its own. The clock moves only when told, so a coordinator whose clock
 * stands believes that it holds its lease, as a paused process does until it looks at its clock.
 */
final class CoordinatorProcess implements AutoCloseable {

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final AtomicLong clockMs = new AtomicLong(1_000_000);
    private final ObjectStore client;
    private final RequestedMaps requests = new RequestedMaps();
    private final MapCoordinator coordinator;
    private volatile CompletableFuture<Void> mapWrites = CompletableFuture.completedFuture(null);

    CoordinatorProcess(String name, String platformUrl, EnvironmentDocument document, Map<String, HostPort> addresses) {
        client = HttpObjectStore.open(ObjectStoreSettings.of(platformUrl), loops);
        coordinator =
                new MapCoordinator(name, "kitchen", Stage.PRODUCTION, pausable(), loops.next(), clockMs::get, requests);
        run(() -> {
            coordinator.update(document, addresses);
            coordinator.start();
        });
    }

    /**
     * Keeps the coordinator from going on after its next write of a map object, until the returned future completes.
     */
    CompletableFuture<Void> pauseAfterMapWrite() {
        CompletableFuture<Void> resume = new CompletableFuture<>();
        mapWrites = resume;
        return resume;
    }

    void advance(long ms) {
        clockMs.addAndGet(ms);
    }

    OptionalLong token(String group) {
        return loops.next()
                .submit(() -> coordinator.token(group))
                .syncUninterruptibly()
                .getNow();
    }

    CompletableFuture<SwitchOutcome> request(String group, MapTarget target) {
        return loops.next()
                .submit(() -> requests.request(group, target))
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        run(coordinator::close);
        client.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(Runnable action) {
        loops.next().submit(action).syncUninterruptibly();
    }

    private ObjectStore pausable() {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    Object result;
                    try {
                        result = method.invoke(client, arguments);
                    } catch (InvocationTargetException failure) {
                        throw failure.getCause();
                    }
                    boolean write = method.getName().equals("create")
                            || method.getName().equals("update");
                    return write && ((String) arguments[0]).startsWith("maps/")
                            ? ((CompletableFuture<?>) result).thenCombine(mapWrites, (written, resumed) -> written)
                            : result;
                });
    }
}
