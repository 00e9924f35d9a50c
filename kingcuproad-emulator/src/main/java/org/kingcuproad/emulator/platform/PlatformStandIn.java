package org.kingcuproad.emulator.platform;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;

/**
 * Stand-in for the platform as an HTTP server. All state belongs to its one event loop; the methods may be called from
 * any other thread and return when they have taken effect.
 */
public final class PlatformStandIn implements AutoCloseable {

    /** Largest value of an object, in bytes. */
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long BOOKMARK_INTERVAL_MS = 1_000;

    private final NioEventLoopGroup eventLoop;
    private final PlatformState state;
    private final HttpServer server;
    private final String host;

    private PlatformStandIn(NioEventLoopGroup eventLoop, PlatformState state, HttpServer server, String host) {
        this.eventLoop = eventLoop;
        this.state = state;
        this.server = server;
        this.host = host;
    }

    /**
     * Starts a stand-in without objects, VMs and faults.
     *
     * @param host IP number to listen on
     * @param port TCP port, or 0 for any free one
     * @return the running stand-in
     * @throws KingcuproadException if the address can't be bound
     */
    public static PlatformStandIn start(String host, int port) throws KingcuproadException {
        NioEventLoopGroup eventLoop = new NioEventLoopGroup(1, new DefaultThreadFactory("platform-stand-in", true));
        PlatformState state = new PlatformState(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        HttpServerSettings settings = HttpServerSettings.of(host, port).withLimits(MAX_VALUE_BYTES, MAX_HEADER_BYTES);
        try {
            HttpServer server = HttpServer.start(eventLoop, settings, state::handle);
            var unused = eventLoop.scheduleAtFixedRate(
                    () -> state.watches().sendBookmarks(),
                    BOOKMARK_INTERVAL_MS,
                    BOOKMARK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return new PlatformStandIn(eventLoop, state, server, host);
        } catch (KingcuproadException failure) {
            eventLoop.shutdownGracefully();
            throw failure;
        }
    }

    /**
     * Returns the base of its API.
     *
     * @return the URL, without a slash at its end
     */
    public String url() {
        return "http://" + host + ":" + server.port();
    }

    /**
     * Sets the faults, which take effect for the next calls; an outage also ends the open watches.
     *
     * @param faults the faults
     */
    public void setFaults(Faults faults) {
        run(() -> state.setFaults(faults));
    }

    /** Makes the open watches silent for good, without closing their connections. New watches work. */
    public void silenceWatches() {
        run(() -> state.watches().silenceAll());
    }

    /** Forgets all changes before now, so that older watches can't go on. */
    public void forgetHistory() {
        run(() -> state.objects().forgetHistory());
    }

    /**
     * Returns the number of calls of each kind.
     *
     * @return the counts since the start or the last reset
     */
    public Map<CallKind, Long> counts() {
        return call(() -> state.gate().counts());
    }

    /** Sets the counts to zero. */
    public void resetCounts() {
        run(() -> state.gate().resetCounts());
    }

    /**
     * Returns the number of open watches.
     *
     * @return watches that are sent changes
     */
    public int openWatches() {
        return call(() -> state.watches().size());
    }

    /**
     * Adds or replaces a VM.
     *
     * @param stage {@code trial} or {@code production}
     * @param vm the VM
     */
    public void putVm(String stage, VmRecord vm) {
        run(() -> state.vms().put(stage, vm));
    }

    /**
     * Removes a VM.
     *
     * @param stage {@code trial} or {@code production}
     * @param name name of the VM
     */
    public void removeVm(String stage, String name) {
        run(() -> state.vms().remove(stage, name));
    }

    /**
     * Sets how old the shown list of VMs is.
     *
     * @param lagMs the age, in milliseconds
     */
    public void setVmLagMs(long lagMs) {
        run(() -> state.vms().setLagMs(lagMs));
    }

    /**
     * Writes an object without a condition, as another client of the platform would.
     *
     * @param key key of the object
     * @param value the bytes
     * @return the version of the object
     */
    public long putObject(String key, byte[] value) {
        return call(() -> {
            ObjectState written = state.objects().put(key, value);
            state.watches().publish(written);
            return written.version();
        });
    }

    /**
     * Reads an object without counting a call.
     *
     * @param key key of the object
     * @return the bytes, or empty if there is no such object
     */
    public Optional<byte[]> object(String key) {
        return call(() -> state.objects().find(key).flatMap(ObjectState::value));
    }

    /** Stops the stand-in and forgets everything. */
    @Override
    public void close() {
        server.close();
        eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(Runnable action) {
        eventLoop.submit(action).syncUninterruptibly();
    }

    private <T> T call(Callable<T> action) {
        return eventLoop.submit(action).syncUninterruptibly().getNow();
    }
}
