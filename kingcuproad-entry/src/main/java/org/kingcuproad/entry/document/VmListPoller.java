package org.kingcuproad.entry.document;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kingcuproad.model.Stage;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.platform.VmListResult;

/** Reads the platform's list of VMs at regular intervals; keeps the last list while the platform is unavailable. */
public final class VmListPoller {

    private final ObjectStore store;
    private final Stage stage;
    private final EventLoop eventLoop;
    private final Consumer<List<Vm>> listener;

    /**
     * Creates a poller.
     *
     * @param store the platform
     * @param stage stage whose VMs are listed
     * @param eventLoop event loop that receives the lists
     * @param listener receives each list
     */
    public VmListPoller(ObjectStore store, Stage stage, EventLoop eventLoop, Consumer<List<Vm>> listener) {
        this.store = store;
        this.stage = stage;
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /**
     * Starts polling.
     *
     * @param intervalMs time between two reads, in milliseconds
     */
    public void start(int intervalMs) {
        eventLoop.scheduleWithFixedDelay(this::poll, 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        store.vms(stage).thenAcceptAsync(this::accept, eventLoop);
    }

    private void accept(VmListResult result) {
        if (result instanceof VmListResult.Listed listed) {
            listener.accept(listed.vms());
        }
    }
}
